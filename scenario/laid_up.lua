-- laid_up.lua: a region's outage reserve follows the tokens used, not the maximum
-- that each request could have used; the rest stays in the store for other regions.
without(argument)
world { seed = 6 }
local n = { node("a", "nord"), node("b", "nord"), node("c", "nord") }
budget("b", 10000000, 100)
advance(2)
for i = 1, 400 do
  request { at = n[i % 3 + 1], amount = 1000, used = 100, lasts = 0.2 }
  advance(0.5)
end
advance(12)
-- 200 tokens/s for 100 s plus a fifth make 24,000; more than twice that is
-- returned. By the maximum of each request it would be 240,000.
local t = tokens()
local reserve = t.held - (t.consumed - t.spent)
expect(t.consumed == 40000, "consumed: " .. t.consumed)
expect(reserve > 10000 and reserve < 80000, "outage reserve: " .. reserve)
rest()
