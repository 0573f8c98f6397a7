-- An operator stops a relay while a replica holds a request that may run once
-- until the end of the grace time. Requests that come late in it are refused as
-- not run, and are not passed on; the one that is open at the end is answered.
local REFUSING_FROM_MS = 3500
local UNAVAILABLE, BAD_GATEWAY = 503, 502
relay_world { relays = 2, plain = 1, engines = 1 }
local resume = relay_fault("replica paused", 0)
local open = relay_request("once", 0)
raw.pause { ms = 300 }
local restart = relay_fault("relay stopped", 0)
raw.pause { ms = REFUSING_FROM_MS }
local taken = requests_taken()
local late = {}
for i, kind in ipairs { "once", "again", "stream" } do
  late[i] = relay_request(kind, 0)
end
for i = 1, #late do
  expect_equal(relay_answer(late[i]).status, UNAVAILABLE, "late request " .. i)
end
expect_equal(requests_taken(), taken, "requests passed on late")
expect_equal(relay_answer(open).status, BAD_GATEWAY, "the open request")
resume()
restart()
relay_judge()
