-- The platform is down when a dispatch with a key comes: without the claim it
-- must not run, since another entry may hold the key. When the platform does
-- not return soon, it is refused as not run, with a time to come back, and
-- works after the outage. Model work and
-- calls without a key go on during the outage.
toy_world {}
outage(true)
local answer = expect_refused(
  dispatch("entry-1", { heap = "in the outage" }, { key = "k-out" }),
  "claim_unavailable", "not run")
expect(answer.retry_after and answer.retry_after >= 1, "no Retry-After")
expect_whole(ask("entry-1", "the model goes on", 5))
expect_whole(dispatch("entry-1", { heap = "no key" }))
outage(false)
expect_whole(dispatch("entry-1", { heap = "in the outage" }, { key = "k-out" }))
expect_equal(dispatches_run { heap = "in the outage" }, 1, "crews")
judge()
