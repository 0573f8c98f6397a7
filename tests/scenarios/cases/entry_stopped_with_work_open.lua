-- An operator stops an entry whose calls last longer than its drain timeout: a
-- dispatch that may not be repeated, and a long answer. Both callers get an
-- answer before the process ends: the outcome is unknown.
toy_world { time_factor = 40, service_millis = 20000, drain_ms = 1500 }
local crew = dispatch("entry-1", { report = "a pole in the road" },
  { deadline_ms = 60000 })
local stream = ask("entry-1", "a stop in the middle", 60)
local whole = ask("entry-1", "the same for a whole answer", 60,
  { stream = false })
under_way(stream, 2)
stop("entry-1")
expect_refused(crew, "outcome_unknown", "unknown")
expect_refused(whole, "outcome_unknown", "unknown")
local cut = answer_of(stream)
expect_equal(cut.unreached, nil, "the stream ends with a cut")
expect_equal(cut.kind, "outcome_unknown", "the stream's last line")
expect_equal(exit_code("entry-1"), 1, "exit code of the stopped entry")
judge()
