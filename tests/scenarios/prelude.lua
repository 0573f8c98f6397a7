-- The scenario language: words over the primitives of World. A scenario says
-- what is started, what goes wrong and what the caller must see; the judge
-- reads only the engines' run logs and the callers' answers.

local started = { engines = {}, services = {}, sides = {}, entries = {} }
local instances = {}
local calls = {}
local models = {}
local demo_secret = "secret"

local POLL_MS = 10
local PATIENCE_MS = 30000

function expect(condition, message)
  if not condition then
    error(message or "an expectation failed", 2)
  end
end

function expect_equal(got, want, message)
  if got ~= want then
    error((message or "values differ") .. ": got " .. tostring(got) ..
          ", want " .. tostring(want), 2)
  end
end

-- Waits for an event, never for a guessed time: looks until the function gives
-- a true value, and fails after a patience that no passing run needs.
function eventually(message, look)
  local waited = 0
  while true do
    local value = look()
    if value then
      return value
    end
    if waited > PATIENCE_MS then
      error("never happened: " .. message, 2)
    end
    raw.pause { ms = POLL_MS }
    waited = waited + POLL_MS
  end
end

local function post(url, body)
  local reply = raw.http {
    method = "POST", url = url, body = raw.encode(body), ms = 10000,
  }
  expect(reply.status == 200, "POST " .. url .. " gave " ..
         tostring(reply.status) .. " " .. reply.body)
  return raw.decode(reply.body)
end

local function get(url)
  local reply = raw.http { url = url, ms = 10000 }
  expect(reply.status == 200, "GET " .. url .. " gave " ..
         tostring(reply.status) .. " " .. reply.detail)
  return reply.body
end

-- Platform ------------------------------------------------------------------

function platform()
  raw.spawn { name = "platform", command = { "standin_platform", "--port", "0" } }
  started.platform = raw.ready { name = "platform", key = "address" }
end

-- platform_fault{outage=true}, {loseAfter=1}, {slowMillis=300}, {listLagMillis=30000}
function platform_fault(faults)
  post("http://" .. started.platform .. "/test/faults", faults)
end

-- Reads and writes that the platform has answered.
function platform_calls()
  local stats = raw.decode(get("http://" .. started.platform .. "/test/stats"))
  return stats.reads.total + stats.writes.total
end

function outage(is_out)
  platform_fault { outage = is_out }
end

function lose_answer(count)
  platform_fault { loseAfter = count or 1 }
end

local function publish_instances()
  post("http://" .. started.platform .. "/test/instances",
       { instances = instances })
end

local function list_instance(name, role, zone, address)
  for _, known in ipairs(instances) do
    if known.name == name then
      known.address = address
      known.state = "live"
      publish_instances()
      return
    end
  end
  instances[#instances + 1] = {
    name = name, role = role, zone = zone, region = "oslo",
    address = address, state = "live",
  }
  publish_instances()
end

-- leaving("side-a", true): the platform's list calls the instance leaving.
function leaving(name, is_leaving)
  for _, known in ipairs(instances) do
    if known.name == name then
      known.state = is_leaving and "leaving" or "live"
    end
  end
  publish_instances()
end

function unlist(name)
  for index, known in ipairs(instances) do
    if known.name == name then
      table.remove(instances, index)
      break
    end
  end
  publish_instances()
end

-- Engines and services ------------------------------------------------------

local function holds_text(holds)
  return "[" .. holds[1] .. ", " .. holds[2] .. "]"
end

-- engines{models={["m"]=12}, {name="a", model="m", version="v1", holds={0,8}}, ...}
function engines(spec)
  local text = "[models]\n"
  for name, layers in pairs(spec.models) do
    models[name] = layers
    text = text .. '"' .. name .. '" = ' .. layers .. "\n"
  end
  for _, one in ipairs(spec) do
    text = text .. "[[endpoint]]\n" ..
      'name = "' .. one.name .. '"\n' ..
      'accelerator = "' .. (one.accelerator or "a100") .. '"\n' ..
      "timeFactor = " .. (one.time_factor or 1) .. ".0\n" ..
      'model = "' .. one.model .. '"\n' ..
      'version = "' .. (one.version or "v1") .. '"\n' ..
      "holds = " .. holds_text(one.holds) .. "\n" ..
      "checksFence = " .. tostring(one.checks_fence ~= false) .. "\n"
    if one.capacity then
      text = text .. "capacityLayers = " .. one.capacity .. "\n"
    end
    if one.cache_tokens then
      text = text .. "cacheTokens = " .. one.cache_tokens .. "\n"
    end
  end
  local file = raw.file { name = "engines.toml", text = text }
  raw.spawn { name = "engines", command = { "standin_engine", "--endpoints", file } }
  started.control = raw.ready { name = "engines", key = "control" }
  for _, line in ipairs(raw.ready_lines { name = "engines" }) do
    local name, address = line:match("^ready endpoint=(%S+) address=(%S+)")
    if name then
      started.engines[name] = address
    end
  end
end

local function engine_url(name, word)
  return "http://" .. started.control .. "/endpoints/" .. name .. "/" .. word
end

-- engine_fault("a", {slowFactor=10}), {frozen=true}, {failSteps=1}, {dropReplies=1}
function engine_fault(name, faults)
  post(engine_url(name, "faults"), faults)
end

function kill_engine(name)
  post(engine_url(name, "die"), {})
end

function start_engine(name)
  post(engine_url(name, "start"), {})
end

function run_log(name)
  return raw.decode(get(engine_url(name, "runlog"))).runs
end

-- service("kituo-1", "kituo")
function service(name, kind, millis)
  raw.spawn { name = name, command = {
    "standin_service", "--name", name, "--service", kind,
    "--service-millis", tostring(millis or 1) } }
  started.services[name] = raw.ready { name = name, key = "address" }
end

function service_fault(name, faults)
  post("http://" .. started.services[name] .. "/test/faults", faults)
end

function service_log(name)
  return raw.decode(get("http://" .. started.services[name] .. "/test/runlog")).runs
end

-- Processes of the system ---------------------------------------------------

local function settings_text(name, zone, listen, extra)
  return '[process]\nname = "' .. name .. '"\nzone = "' .. zone ..
    '"\nregion = "oslo"\n[listen]\n' .. listen ..
    '[platform]\naddress = "' .. started.platform .. '"\n' .. (extra or "")
end

-- side("a"): the side of an engine or service, named side-a and listed. With
-- link=true the others reach it through a forwarder that can be cut; wire= is
-- the address to listen on. Gives the name and the address.
function side(endpoint, options)
  options = options or {}
  local name = "side-" .. endpoint
  local zone = options.zone or "oslo-a"
  local kind = started.engines[endpoint] and "engine" or "service"
  local address = started.engines[endpoint] or started.services[endpoint]
  local text = settings_text(name, zone,
    'wire = "' .. (options.wire or "127.0.0.1:0") ..
    '"\nmetrics = "127.0.0.1:0"\n',
    '[endpoint]\nname = "' .. endpoint .. '"\nkind = "' .. kind ..
    '"\naddress = "' .. address .. '"\n')
  local file = raw.file { name = name .. ".toml", text = text }
  raw.spawn { name = name, command = { "poplartrack", "side", "--settings", file } }
  local wire = raw.ready { name = name, key = "wire" }
  started.sides[name] = {
    endpoint = endpoint, metrics = raw.ready { name = name, key = "metrics" },
  }
  if options.link then
    wire = raw.link { name = name, target = wire }
  end
  if not options.unlisted then
    list_instance(name, "side", zone, wire)
  end
  return name, wire
end

-- entry("entry-1"); options: zone, peers (list of entry names), grace_ms,
-- drain_ms
function entry(name, options)
  options = options or {}
  local zone = options.zone or "oslo-a"
  local extra = ""
  if options.peers then
    local list = {}
    for _, peer in ipairs(options.peers) do
      list[#list + 1] = '"' .. started.entries[peer].wire .. '"'
    end
    extra = "[peers]\nentries = [" .. table.concat(list, ", ") .. "]\n"
  end
  extra = extra .. "[tuning]\nconfig_poll_ms = 200\ninstance_poll_ms = 200\n" ..
    "probe_interval_ms = 200\ndrain_grace_ms = " .. (options.grace_ms or 100) ..
    "\ndrain_timeout_ms = " .. (options.drain_ms or 130000) ..
    "\nplacement = " .. tostring(options.placement or false) .. "\n"
  local text = settings_text(name, zone,
    'callers = "127.0.0.1:0"\nwire = "127.0.0.1:0"\n', extra)
  local file = raw.file { name = name .. ".toml", text = text }
  raw.spawn { name = name, command = { "poplartrack", "entry", "--settings", file } }
  started.entries[name] = {
    callers = raw.ready { name = name, key = "callers" },
    wire = raw.ready { name = name, key = "wire" },
  }
  if not options.unlisted then
    list_instance(name, "entry", zone, started.entries[name].wire)
  end
  return name
end

function kill(name) raw.signal { name = name, signal = "KILL" } end
function freeze(name) raw.signal { name = name, signal = "STOP" } end
function thaw(name) raw.signal { name = name, signal = "CONT" } end
function stop(name) raw.signal { name = name, signal = "TERM" } end
function exit_code(name) return raw.wait_exit { name = name } end
function running(name) return raw.wait_exit { name = name, ms = 0 } == nil end
function cut(name) raw.link_do { name = name, what = "cut" } end
function heal(name) raw.link_do { name = name, what = "heal" } end
function hold(name) raw.link_do { name = name, what = "freeze" } end
function delay(name, ms) raw.link_do { name = name, what = "delay", delay_ms = ms } end

function log_of(name) return raw.log { name = name } end

-- What an entry knows, and one counter of an entry or side.
function status(name)
  local reply = raw.http {
    url = "http://" .. started.entries[name].callers .. "/status", ms = 5000 }
  return reply.status == 200 and raw.decode(reply.body) or nil
end

function metric(name, line)
  local at = started.entries[name] and started.entries[name].callers
    or started.sides[name].metrics
  local text = get("http://" .. at .. "/metrics")
  for found, value in text:gmatch("\npoplartrack_(%S+) (%S+)") do
    if found == line then
      return tonumber(value)
    end
  end
  return 0
end

-- Waits until entries have a configuration and see so many usable endpoints.
function settled(count, names)
  for name in pairs(started.entries) do
    if not names or names[name] then
      eventually(name .. " settles", function()
        local seen = status(name)
        if not seen or seen.revision == 0 then
          return false
        end
        local usable = 0
        for _, endpoint in ipairs(seen.endpoints) do
          if not endpoint.leaving and endpoint.failures == 0 then
            usable = usable + 1
          end
        end
        return usable >= count
      end)
    end
  end
end

-- Configuration -------------------------------------------------------------

-- A folder's text for models and services; one account "shop".
function settings(spec)
  local text = ""
  for name, model in pairs(spec.models or {}) do
    text = text .. "[models." .. name .. "]\nlayers = " .. model.layers ..
      '\nversion = "' .. (model.version or "v1") .. '"\n'
    for _, version in ipairs(model.versions or { model.version or "v1" }) do
      text = text .. "[models." .. name .. ".versions." .. version ..
        ']\nweights = "' .. name .. "-" .. version .. '"\n'
    end
  end
  for name, operations in pairs(spec.services or {}) do
    for operation, idempotent in pairs(operations) do
      text = text .. "[services." .. name .. ".operations." .. operation ..
        "]\nidempotent = " .. tostring(idempotent) .. "\n"
    end
  end
  for _, account in ipairs(spec.accounts or { "shop" }) do
    text = text .. "[accounts." .. account .. ']\nsecret_sha256 = "' ..
      raw.sha256 { text = demo_secret } .. '"\nrequests_per_second = 1000.0\n' ..
      'tokens_per_second = 1000000.0\nhighest_priority = "high"\n'
  end
  return text .. (spec.extra or "")
end

-- push{["10-base.toml"]=text}: through the operators' command; gives exit code
-- and output. Options: author, folder, args (more words for the command line).
function push(files, options)
  options = options or {}
  local folder = options.folder or "settings"
  local path
  for name, text in pairs(files) do
    path = raw.file { name = folder .. "/" .. name, text = text }
  end
  path = path:match("^(.*)/[^/]*$")
  local command = { "poplartrack", "config", "push", path, "--platform",
                    started.platform, "--author", options.author or "tester" }
  for _, word in ipairs(options.args or {}) do
    command[#command + 1] = word
  end
  local name = options.name or "push"
  raw.spawn { name = name, command = command }
  if options.leave_running then
    return name
  end
  local code = raw.wait_exit { name = name }
  return code, raw.log { name = name }
end

-- Calls ---------------------------------------------------------------------

-- begin_call{entry=, model=, prompt=, tokens=, stream=} or
-- begin_call{entry=, service=, operation=, body=, key=, non_idempotent=}
function begin_call(spec)
  local headers = {
    authorization = "Bearer " .. (spec.account or "shop") .. ":" ..
      (spec.secret or demo_secret),
    ["content-type"] = "application/json",
  }
  if spec.deadline_ms then
    headers["x-deadline-ms"] = tostring(spec.deadline_ms)
  end
  if spec.key then headers["idempotency-key"] = spec.key end
  if spec.non_idempotent then headers["x-non-idempotent"] = "true" end
  if spec.priority then headers["x-priority"] = spec.priority end
  local base = "http://" .. started.entries[spec.entry].callers .. "/v1/"
  local url, body
  if spec.model then
    url = base .. "models/" .. spec.model .. "/answers"
    body = raw.encode { prompt = spec.prompt, max_tokens = spec.tokens,
                        stream = spec.stream or false }
  else
    url = base .. "services/" .. spec.service .. "/" .. spec.operation
    body = raw.encode(spec.body or {})
  end
  local id = raw.begin { method = "POST", url = url, body = body, headers = headers }
  local call = { id = id, spec = spec }
  calls[#calls + 1] = call
  return call
end

-- Tokens that have reached the caller of a streamed call.
function tokens_so_far(call)
  local progress = raw.progress { id = call.id }
  return progress.bytes // 20, progress.ended
end

function ended(call)
  return raw.progress { id = call.id }.ended
end

function hang_up(call)
  raw.abandon { id = call.id }
end

local function read_stream(answer, body)
  answer.tokens = {}
  for line in body:gmatch("[^\n]+") do
    local item = raw.decode(line)
    if item and item["end"] then
      answer.facts = item["end"]
      answer.whole = item["end"].tokens == #answer.tokens
    elseif item and item.failed then
      answer.kind = item.failed.kind
      answer.ran = item.failed.ran
      answer.request = item.failed.request
    elseif item and item.token then
      answer.tokens[#answer.tokens + 1] = item.token
    end
  end
end

-- Waits for a call's end. Fields: status, whole, tokens, kind, ran, request,
-- body, retry_after; unreached when no answer came.
function answer_of(call)
  if call.answer then
    return call.answer
  end
  local result = raw.finish { id = call.id }
  local answer = { status = result.status, body = result.body,
                   outcome = result.outcome, whole = false,
                   replayed = result.headers["x-outcome"] == "replayed",
                   request = result.headers["x-request-id"],
                   revision = tonumber(result.headers["x-config-revision"]),
                   retry_after = tonumber(result.headers["retry-after"]) }
  if result.outcome ~= "replied" then
    answer.unreached = true
    if call.spec.stream then read_stream(answer, result.body) end
    answer.whole = false
  elseif result.status >= 400 then
    local body = raw.decode(result.body) or {}
    answer.kind, answer.ran = body.kind, body.ran
  elseif call.spec.stream then
    read_stream(answer, result.body)
  elseif call.spec.model then
    answer.facts = raw.decode(result.body)
    answer.tokens = answer.facts.tokens
    answer.whole = true
  else
    answer.whole = true
  end
  call.answer = answer
  return answer
end

function call(spec)
  return answer_of(begin_call(spec))
end

local function same_tokens(got, want)
  if #got ~= #want then return false end
  for i = 1, #want do
    if got[i] ~= want[i] then return false end
  end
  return true
end

function right_answer(spec, version)
  return raw.right { model = spec.model, version = version or "v1",
                     layers = models[spec.model], prompt = spec.prompt,
                     tokens = spec.tokens }
end

-- Fails unless the answer is whole and right.
function expect_whole(call)
  local answer = answer_of(call)
  expect(answer.whole, "not whole: " .. tostring(answer.status) .. " " ..
         tostring(answer.kind) .. " " .. tostring(answer.ran) .. " " ..
         tostring(answer.body))
  if call.spec.model then
    local want = right_answer(call.spec, answer.facts.version)
    expect(same_tokens(answer.tokens, want), "the answer is wrong")
  end
  return answer
end

function expect_refused(call, kind, ran)
  local answer = answer_of(call)
  expect(not answer.whole, "expected a refusal, got a whole answer")
  expect_equal(answer.kind, kind, "kind of refusal")
  if ran then
    expect_equal(answer.ran, ran, "what is said of the work")
  end
  return answer
end

-- The judge -----------------------------------------------------------------

-- Runs in one sequence must be contiguous and never twice: each layer once a
-- position, in order.
local function judge_engine(name)
  local next_position = {}
  for _, run in ipairs(run_log(name)) do
    local key = run.sequence .. "/" .. run.incarnation
    local want = next_position[key] or 0
    expect(run.position == want, name .. " ran position " .. run.position ..
           " of " .. run.sequence .. ", next was " .. want)
    next_position[key] = run.position + run.count
  end
end

local function requests_run()
  local seen = {}
  for name in pairs(started.engines) do
    for _, run in ipairs(run_log(name)) do
      seen[run.sequence:match("^(%x+)")] = true
    end
  end
  local counts = {}
  for name in pairs(started.services) do
    if running(name) then
      for _, run in ipairs(service_log(name)) do
        seen[run.requestId] = true
        local body = run.operation .. " " .. run.body
        counts[body] = (counts[body] or 0) + 1
      end
    end
  end
  return seen, counts
end

-- Reads run logs and answers only. Call when nothing is in progress. Bodies of
-- non-idempotent calls must be unique to their key.
function judge()
  for name in pairs(started.engines) do
    judge_engine(name)
  end
  local seen, counts = requests_run()
  for _, one in ipairs(calls) do
    local answer = answer_of(one)
    if answer.whole and one.spec.model then
      expect_whole(one)
    end
    if answer.tokens and one.spec.model and not answer.whole then
      local want = right_answer(one.spec, one.spec.version)
      for i, token in ipairs(answer.tokens) do
        expect(token == want[i], "a token of a part answer is wrong")
      end
    end
    if answer.ran == "not run" and answer.request then
      expect(not seen[answer.request],
             "\"not run\" was said of " .. answer.request .. ", which ran")
    end
    if one.spec.non_idempotent and one.spec.body then
      local body = one.spec.operation .. " " .. raw.encode(one.spec.body)
      expect((counts[body] or 0) <= 1, "ran more than once: " .. body)
    end
  end
end

-- A common world -------------------------------------------------------------

-- Two engines for each half of "toy", two kituo and codebook services, and so
-- many entries that know each other. Options: entries, time_factor, links (the
-- sides are reached through links), extra (more settings text), services=false.
function toy_world(options)
  options = options or {}
  local factor = options.time_factor or 1
  platform()
  engines {
    models = { toy = 12 },
    { name = "a1", model = "toy", holds = { 0, 7 }, time_factor = factor },
    { name = "a2", model = "toy", holds = { 0, 6 }, time_factor = factor },
    { name = "b1", model = "toy", holds = { 5, 12 }, time_factor = factor },
    { name = "b2", model = "toy", holds = { 6, 12 }, time_factor = factor },
  }
  local count = 4
  for _, name in ipairs { "a1", "a2", "b1", "b2" } do
    side(name, { link = options.links })
  end
  if options.services ~= false then
    for _, name in ipairs { "kituo-1", "kituo-2" } do
      service(name, "kituo", options.service_millis)
      side(name, { link = options.links })
    end
    count = count + 2
  end
  local names = {}
  for i = 1, options.entries or 1 do
    names[#names + 1] = entry("entry-" .. i, {
      peers = { table.unpack(names) }, drain_ms = options.drain_ms })
  end
  toy_settings = settings {
    models = { toy = { layers = 12 } },
    services = { kituo = { dispatch = false, where = true } },
    extra = options.extra,
  }
  local code, output = push { ["10-base.toml"] = toy_settings }
  expect_equal(code, 0, output)
  settled(count)
end

function ask(entry_name, prompt, tokens, more)
  local spec = more or {}
  spec.entry, spec.model = entry_name, "toy"
  spec.prompt, spec.tokens = prompt, tokens
  if spec.stream == nil then spec.stream = true end
  return begin_call(spec)
end

function dispatch(entry_name, body, more)
  local spec = more or {}
  spec.entry, spec.service, spec.operation = entry_name, "kituo", "dispatch"
  spec.body, spec.non_idempotent = body, true
  return begin_call(spec)
end

-- Waits until a streamed answer has so many tokens.
function under_way(call, tokens)
  eventually("tokens come", function()
    local count, is_ended = tokens_so_far(call)
    return count >= tokens or is_ended
  end)
end

-- The endpoints of a prefix that ran a request that is under way.
function running_one_of(names)
  local best, most
  for _, name in ipairs(names) do
    local runs = #run_log(name)
    if not most or runs > most then
      best, most = name, runs
    end
  end
  return best
end

function dispatches_run(body)
  local count = 0
  for _, name in ipairs { "kituo-1", "kituo-2" } do
    for _, run in ipairs(service_log(name)) do
      if run.body == raw.encode(body) then
        count = count + 1
      end
    end
  end
  return count
end

-- Relays ---------------------------------------------------------------------

-- relay_world{relays=2, plain=2, engines=3}: relays between callers and replicas
-- of the users' platform, as in the soak; engines= is the number in each of two
-- zones.
function relay_world(size)
  raw.relays(size)
  relays_serve(size.relays)
end

-- Waits until so many relays serve all kinds of requests.
function relays_serve(relays)
  for relay = 0, relays - 1 do
    for _, kind in ipairs { "once", "again", "stream" } do
      eventually("relay " .. relay .. " serves " .. kind, function()
        return relay_answer(relay_request(kind, relay)).whole
      end)
    end
  end
end

-- Kinds: "once", "again", "stream". Gives a number for relay_answer().
function relay_request(kind, relay)
  return raw.relay_begin { kind = kind, relay = relay }
end

function relay_answer(id)
  return raw.relay_finish { id = id }
end

-- Begins a fault of the soak (SoakPlan.h); gives the function that ends it.
function relay_fault(name, who)
  raw.relay_fault { name = name, who = who, begins = true }
  return function()
    raw.relay_fault { name = name, who = who, begins = false }
  end
end

function requests_taken()
  return raw.relay_taken {}
end

-- Holds what callers saw against what replicas ran, with the soak's judge.
function relay_judge()
  local verdict = raw.relay_verdict {}
  for _, line in ipairs(verdict.broken) do
    print("broken: " .. line)
  end
  expect_equal(#verdict.broken, 0, "broken promises")
  return verdict
end
