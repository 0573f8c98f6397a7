-- Guards against the loss of a request that a replica has taken before it falls
-- silent for a second, and against half a head taken for an answer, beside
-- changes of the configuration, signals and restarts.
math.randomseed(20261205)
local RELAYS, PLAIN, ENGINES = 2, 2, 3
local REPLICAS = PLAIN + 2 * ENGINES
local SILENCE_MS = 1200
local KINDS = { "once", "again", "stream", "stream", "stream" }
relay_world { relays = RELAYS, plain = PLAIN, engines = ENGINES }

local function some_requests(count)
  local ids = {}
  for i = 1, count do
    ids[i] = relay_request(KINDS[math.random(#KINDS)], math.random(RELAYS) - 1)
  end
  return ids
end

for round = 1, 6 do
  relays_serve(RELAYS)
  local taken = requests_taken()
  local ids = some_requests(12)
  eventually("most requests have been taken", function()
    return requests_taken() >= taken + 8
  end)
  local ends = {}
  local first = math.random(REPLICAS)
  for i = 1, math.random(REPLICAS) do
    ends[#ends + 1] = relay_fault("replica falls silent", first + i)
  end
  ends[#ends + 1] = relay_fault("config changes", 0)
  ends[#ends + 1] = relay_fault("relay gets a hangup signal", math.random(RELAYS))
  ends[#ends + 1] = relay_fault("replica stops in head", math.random(1000))
  if round % 3 == 0 then
    ends[#ends + 1] = relay_fault("relay stopped", math.random(RELAYS))
  end
  local meanwhile = some_requests(4)
  raw.pause { ms = SILENCE_MS }
  for _, finish in ipairs(ends) do finish() end
  for _, id in ipairs(ids) do relay_answer(id) end
  for _, id in ipairs(meanwhile) do relay_answer(id) end
end
local verdict = relay_judge()
print(verdict.whole .. " of " .. verdict.calls .. " answers whole, " ..
      verdict.through_silence .. " through a silence")
expect(verdict.through_silence > 0, "no request met a silence")
