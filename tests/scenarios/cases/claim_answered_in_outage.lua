-- The platform is down when a dispatch with a key ends. Its caller gets the
-- answer meanwhile; the entry records it when the platform is back, so a repeat
-- that waits at another entry gets it too, long before its deadline. The entry
-- is stopped in between: its drain waits for the record.
toy_world { entries = 2, service_millis = 1500 }
local body = { report = "tree on the line" }
local calls = {}
for _, name in ipairs { "entry-1", "entry-2" } do
  calls[name] = dispatch(name, body, { key = "report-3", deadline_ms = 20000 })
end
local waiting = eventually("one entry waits for the other", function()
  for name in pairs(calls) do
    if metric(name, "claim_waits_total") > 0 then
      return name
    end
  end
end)
outage(true)
local holding = waiting == "entry-1" and "entry-2" or "entry-1"
local answer = expect_whole(calls[holding])
expect_equal(metric(holding, "claim_ends_kept"), 1, "ends to be recorded")
stop(holding)
eventually("the holder listens no more", function()
  return not pcall(metric, holding, "claim_ends_kept")
end)
outage(false)
local again = expect_whole(calls[waiting])
expect(again.replayed, "the repeat was not answered from the record")
expect_equal(again.body, answer.body, "the answers")
expect_equal(dispatches_run(body), 1, "crews")
expect_equal(exit_code(holding), 0, "exit code of the holder")
judge()
