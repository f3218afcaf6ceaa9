-- outage.lua: the store is unavailable for two hours under load. No budget is
-- overspent, the outage reserve is served, and the store's return causes no burst
-- of calls.
without(argument)
world { seed = 9 }
local halls, n = { "nord", "sued", "terminal" }, {}
for i = 1, 8 do n[i] = node("n" .. i, halls[i % 3 + 1]) end
for i = 1, 10 do budget("b" .. i, 200000, 1800) end
advance(2)
local function load(seconds, step)
  local t = 0
  while t < seconds do
    for i = 1, 10 do
      request { at = n[(i + t) % 8 + 1], budget = "b" .. i, amount = 20, lasts = 0.3 }
    end
    advance(step)
    t = t + step
  end
end
load(60, 1)
local before = sums()
expect(before.false_refused == 0)
store("down")
load(1200, 2)
local during = sums()
local served = (during.done - before.done) / (during.requests - before.requests)
expect(served > 0.9, "served in the outage: " .. served)
store("hung")
load(120, 2)
store("down")
advance(6000)
store("up")
local totals_before = sums()
advance(1)
local totals_after = sums()
local calls = totals_after.writes + totals_after.reads - totals_before.writes - totals_before.reads
expect(calls < 8 * 20, "calls in the first second: " .. calls)
load(30, 1)
for i = 1, 10 do expect(tokens("b" .. i).consumed <= 200000) end
rest()
