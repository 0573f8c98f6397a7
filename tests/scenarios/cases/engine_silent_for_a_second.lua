-- Guards against the loss of an answer whose only engine is silent for a second.
toy_world { time_factor = 5, services = false }
kill("side-a2")
kill("side-b2")
local function usable(name)
  for _, endpoint in ipairs(status("entry-1").endpoints) do
    if endpoint.name == name then
      return endpoint.failures == 0 and not endpoint.silent
    end
  end
  return false
end
eventually("the entry knows of the losses", function()
  return not usable("a2") and not usable("b2")
end)
local long = ask("entry-1", "one route", 60, { deadline_ms = 60000 })
under_way(long, 5)
engine_fault("b1", { frozen = true })
eventually("the silence lasts", function() return not usable("b1") end)
engine_fault("b1", { frozen = false })
expect_whole(long)
judge()
