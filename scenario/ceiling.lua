-- ceiling.lua: a fleet that has run for minutes when the store comes back from a copy
-- 25 s old. Tokens that were drawn since must not be spent again, also where all
-- instances were lost with it. Where none was lost, callers must not notice.
without(argument)
local TOTAL, COPY_AGE_S = 600000, 25

local function build(seed)
  world { seed = seed }
  local n = {}
  for i, hall in ipairs { "nord", "sued", "terminal", "nord", "sued", "terminal" } do
    n[i] = node("n" .. i, "town", hall)
  end
  budget("b", TOTAL, 10)
  advance(2)
  store("down")
  restore(0) -- from here on the store states an era
  store("up")
  return n
end

-- Returns how many requests were refused.
local function load_for(n, seconds)
  local before = sums().refused
  for i = 1, seconds * 5 do
    request { at = n[i % #n + 1], amount = 400, used = 300, lasts = 0.3 }
    advance(0.2)
  end
  return sums().refused - before
end

local function restore_store()
  store("down")
  advance(0.5)
  restore(COPY_AGE_S)
  store("up")
end

-- All instances are lost: nobody knows what the store has lost.
local n = build(1)
load_for(n, 90)
local writes = sums().writes
expect(load_for(n, 60) == 0, "refused in normal operation")
print(("%d writes in 60 s"):format(sums().writes - writes))
for _, x in ipairs(n) do kill(x) end
restore_store()
for _, x in ipairs(n) do restart(x) end
load_for(n, 300)
advance(40)
rest()
print(("%d of %d used"):format(tokens().consumed, TOTAL))
expect(tokens().consumed <= TOTAL)
expect(tokens().consumed >= 0.75 * TOTAL, "a quarter is missing since the restore")

-- No instance is lost, and more than a quarter is used.
n = build(2)
load_for(n, 120)
restore_store()
local refused = load_for(n, 10)
print(("%d of 50 requests refused in 10 s after a restore"):format(refused))
load_for(n, 300)
advance(40)
rest()
print(("%d of %d used"):format(tokens().consumed, TOTAL))
expect(refused == 0, "refused after a restore")
expect(tokens().consumed >= 0.97 * TOTAL, "not all of the budget is usable")
