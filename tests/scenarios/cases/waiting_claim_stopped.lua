-- Two entries get the same dispatch, and the one that waits for the other's
-- answer is stopped. Its wait ends at once with the answer of the deadline; the
-- other entry's call goes on.
toy_world { entries = 2, service_millis = 5000 }
local body = { report = "signal at the ford" }
local calls = {}
for _, name in ipairs { "entry-1", "entry-2" } do
  calls[name] = dispatch(name, body, { key = "report-2", deadline_ms = 20000 })
end
local waiting = eventually("one entry waits for the other", function()
  for name in pairs(calls) do
    if metric(name, "claim_waits_total") > 0 then
      return name
    end
  end
end)
stop(waiting)
expect_refused(calls[waiting], "key_in_use", "unknown")
expect_equal(exit_code(waiting), 0, "exit code of the stopped entry")
calls[waiting] = nil
local _, holding = next(calls)
expect_whole(holding)
expect_equal(dispatches_run(body), 1, "crews")
judge()
