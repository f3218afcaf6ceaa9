-- restored.lua: seeded random runs in which the store comes back from a copy some
-- seconds old. What it lost of the budgets must not be spent again.
-- Argument: FROM COUNT, the seeds, and "one" or "all" when instances crash beside each
-- restore, or "managed" when all requests are of managed services.

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

local managed = false

local function load_for(r, nodes, seconds)
  for _ = 1, seconds * 5 do
    for _ = 1, r(4) do
      local amount = 50 + r(300)
      request { at = nodes[r(#nodes)], budget = r(4) == 1 and "small" or "large",
                amount = amount, used = r(amount), lasts = r(60) / 100,
                priority = managed and amount % 3 or nil }
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

-- `kills`: "one" instance, or a third of "all", on average.
local function crash(r, nodes, kills)
  local victim = r(#nodes)
  for i, n in ipairs(nodes) do
    if kills == "one" and i == victim or kills == "all" and r(3) == 1 then
      kill(n)
      restart(n)
    end
  end
end

local function run(seed, kills)
  math.randomseed(seed)
  local r = function(n) return math.random(n) end
  local nodes = build(r, seed)
  managed = kills == "managed"
  advance(2)
  for _ = 1, 3 do
    load_for(r, nodes, 2 + r(8))
    local when = r(2)
    if when == 1 then crash(r, nodes, kills) end
    restore_store(r)
    if when == 2 then crash(r, nodes, kills) end
  end
  load_for(r, nodes, 20)
  lose(0, 0)
  advance(40)
  rest()
  return sums()
end

local function play(from, count, kills)
  return run_seeds(from, count, function(seed) return run(seed, kills) end)
end

local from, count, kills = argument:match("^(%d+) (%d+) ?(%a*)$")
if from then
  expect(play(tonumber(from), tonumber(count), kills) == 0)
else
  expect(play(1, 200, argument) == 0)
end
