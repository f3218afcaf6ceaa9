-- lost_all.lua: all instances lose power and come back within seconds, again and
-- again, while the store answers. What a home had drawn ahead and not given out must
-- be usable again; only what may have been spent since it last wrote stays counted.
-- Argument: a mechanism to disable.
without(argument)
local TOTAL, PER_S, LOSSES = 600000, 5000, 3

local function build(seed)
  world { seed = seed, allowances = true }
  local n = {}
  for i, hall in ipairs { "nord", "sued", "terminal", "nord", "sued", "terminal", "nord" } do
    n[i] = node("n" .. i, "town", hall)
  end
  budget("b", TOTAL, 10)
  advance(2)
  return n
end

local function load_for(n, seconds)
  for i = 1, seconds * 10 do
    request { at = n[i % #n + 1], amount = 600, used = PER_S / 10, lasts = 0.3 }
    advance(0.1)
  end
end

for seed = 1, 20 do
  local n = build(seed)
  for _ = 1, LOSSES do
    load_for(n, 12)
    for _, x in ipairs(n) do kill(x) end
    advance(2)
    for _, x in ipairs(n) do restart(x) end
    advance(0.5)
  end
  load_for(n, 120)
  advance(20)
  rest()
  local used = tokens().consumed
  print(("seed %d: %d of %d used"):format(seed, used, TOTAL))
  expect(used <= TOTAL, "overspent")
  -- Nine tenths of what is used without losses.
  expect(used >= 0.9 * TOTAL, "tokens of lost homes are missing: " .. used)
end
