-- A stage is lost under more answers than the retry budget has in reserve, far
-- before their deadlines and with the same layers free at another endpoint. The
-- retries beyond the reserve wait for the budget, a second each, and every
-- caller gets its whole answer.
toy_world { time_factor = 3, services = false }
kill("side-b1")
eventually("the entry knows that b1 is gone", function()
  for _, endpoint in ipairs(status("entry-1").endpoints) do
    if endpoint.name == "b1" then return endpoint.failures > 0 end
  end
end)
local all = {}
for i = 1, 24 do
  all[i] = ask("entry-1", "answer " .. i, 60, { deadline_ms = 60000 })
end
for _, one in ipairs(all) do
  under_way(one, 2)
end
side("b1")
settled(4)
kill("side-b2")
for _, one in ipairs(all) do
  expect_whole(one)
end
judge()
