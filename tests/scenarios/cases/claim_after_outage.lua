-- A dispatch with a key comes while the platform is briefly down. Its entry waits
-- for the platform and claims the key then; the caller gets its answer.
toy_world {}
outage(true)
local waiting = dispatch("entry-1", { heap = "restart" }, { key = "k-short" })
eventually("the entry waits for the platform", function()
  return metric("entry-1", "claim_waits_total") > 0
end)
outage(false)
expect_whole(waiting)
expect_equal(dispatches_run { heap = "restart" }, 1, "crews")
judge()
