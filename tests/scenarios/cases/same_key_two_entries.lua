-- The balancer sends the same dispatch to two entries at once. One claim wins;
-- the other entry waits for its answer, so both callers get it. One crew
-- drives.
toy_world { entries = 2, service_millis = 300 }
local body = { report = "needles by the school" }
local first = dispatch("entry-1", body, { key = "report-1" })
local second = dispatch("entry-2", body, { key = "report-1" })
local a, b = expect_whole(first), expect_whole(second)
expect(a.replayed ~= b.replayed, "one answer must be the record of the other")
expect_equal(a.body, b.body, "the answers")
expect_equal(dispatches_run(body), 1, "crews")
local again = expect_whole(dispatch("entry-2", body, { key = "report-1" }))
expect(again.replayed, "the repeat was not answered from the record")
expect_equal(dispatches_run(body), 1, "crews after the repeat")
judge()
