-- restored.lua: seeded random runs in which the store comes back from a copy some
-- seconds old. What it lost of the budgets must not be spent again.
-- Argument: "" for the suite, "SEED" for one run, "kills" for the suite in which
-- instances crash at any time.

local COPY_MAX_AGE_S = 5

local function build(r, seed)
  world { seed = seed }
  local nodes, regions = {}, r(3)
  for i = 1, 3 + r(5) do
    local hall = "hall" .. (i % 3)
    nodes[i] = node("n" .. i, "region" .. (i % regions), hall)
  end
  budget("small", 3000 + r(4000), 10)
  budget("large", 60000 + r(40000), 10)
  lose(r(4) / 100, r(4) / 100)
  return nodes
end

local function load_for(r, nodes, seconds)
  for _ = 1, seconds * 5 do
    for _ = 1, r(4) do
      local amount = 50 + r(300)
      request { at = nodes[r(#nodes)], budget = r(4) == 1 and "small" or "large",
                amount = amount, used = r(amount), lasts = r(60) / 100 }
    end
    advance(0.2)
  end
end

local function restore_store(r)
  store("down")
  advance(r(10) / 10)
  restore(r(COPY_MAX_AGE_S * 10) / 10)
  store("up")
end

local function crash_some(r, nodes)
  for _, n in ipairs(nodes) do
    if r(3) == 1 then
      kill(n)
      restart(n)
    end
  end
end

local function run(seed, kills)
  math.randomseed(seed)
  local r = function(n) return math.random(n) end
  local nodes = build(r, seed)
  advance(2)
  for _ = 1, 3 do
    load_for(r, nodes, 2 + r(8))
    if kills and r(2) == 1 then crash_some(r, nodes) end
    restore_store(r)
    if kills and r(2) == 1 then crash_some(r, nodes) end
  end
  load_for(r, nodes, 20)
  lose(0, 0)
  advance(40)
  rest()
  return sums()
end

local function run_seeds(count, kills)
  local requests, done = 0, 0
  for seed = 1, count do
    local ok, s = pcall(run, seed, kills)
    if not ok then error("seed " .. seed .. ": " .. s, 0) end
    requests, done = requests + s.requests, done + s.done
  end
  print(("%d of %d requests served"):format(done, requests))
end

if tonumber(argument) then
  for k, v in pairs(run(tonumber(argument), false)) do print(k, v) end
else
  run_seeds(200, argument == "kills")
end
