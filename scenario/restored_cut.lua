-- restored_cut.lua: seeded random runs in which the store comes back from a copy some
-- seconds old while a region is cut off from it, but not from the other instances. What
-- the homes there have drawn must not be drawn again before they can write it.
-- Argument: FROM COUNT SECONDS: the seeds, and for how long the cut goes on after the
-- restore.

local COPY_MAX_AGE_S = 5

local function build(r, seed)
  world { seed = seed }
  local nodes, regions = {}, 1 + r(2)
  for i = 1, 3 + r(5) do
    nodes[i] = node("n" .. i, "region" .. (i % regions), "hall" .. (i % 3))
  end
  budget("small", 3000 + r(4000), 10)
  budget("large", 60000 + r(40000), 10)
  advance(2)
  lose(r(4) / 100, r(4) / 100)
  return nodes, regions
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

local function run(seed, cut_s)
  math.randomseed(seed)
  local r = function(n) return math.random(n) end
  local nodes, regions = build(r, seed)
  for _ = 1, 2 do
    load_for(r, nodes, 2 + r(8))
    local region = "region" .. (r(regions) - 1)
    cut_store(region)
    restore_store(r)
    load_for(r, nodes, cut_s)
    heal(region)
    load_for(r, nodes, 10)
  end
  lose(0, 0)
  advance(40)
  rest()
  return sums()
end

local from, count, cut_s = argument:match("^(%d+) (%d+) (%d+)$")
local failed = run_seeds(tonumber(from), tonumber(count), function(seed)
  return run(seed, tonumber(cut_s))
end)
expect(failed == 0)
