-- Guards against a refusal while the only engine of a layer is silent for a
-- second.
platform()
engines {
  models = { toy = 12 },
  { name = "a", model = "toy", holds = { 0, 6 }, time_factor = 5 },
  { name = "b", model = "toy", holds = { 6, 12 }, time_factor = 5 },
}
side("a")
side("b")
entry("entry-1")
local code, output = push { ["10-base.toml"] = settings {
  models = { toy = { layers = 12 } } } }
expect_equal(code, 0, output)
settled(2)
local function endpoint_of(name)
  for _, endpoint in ipairs(status("entry-1").endpoints) do
    if endpoint.name == name then return endpoint end
  end
  return nil
end
engine_fault("b", { frozen = true })
eventually("the entry knows of the silence", function()
  local endpoint = endpoint_of("b")
  return not endpoint or endpoint.silent
end)
local call = ask("entry-1", "in the silence", 10, { deadline_ms = 60000 })
eventually("the entry has decided", function()
  return status("entry-1").active > 0 or ended(call)
end)
engine_fault("b", { frozen = false })
expect_whole(call)
eventually("it is in use again", function()
  local endpoint = endpoint_of("b")
  return endpoint and not endpoint.silent
end)
judge()
