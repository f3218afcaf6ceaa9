-- lost_home.lua: the home of a grant crashes. Its witness, which agreed to each
-- increase of the home's issue limit, lets all unissued tokens be recovered; only
-- tokens that no instance can account for stay written off.
without(argument)
world { seed = 8 }
local n = {}
for i = 1, 4 do n[i] = node("n" .. i, "town", "hall" .. i) end
budget("b", 1000000, 3600)
advance(2)
for _ = 1, 120 do
  for i = 1, 4 do request { at = n[i], amount = 50, lasts = 0.2 } end
  advance(0.5)
end
advance(10)
local before = tokens()
expect(before.held - before.spent > 50000, "the outage reserve: " .. before.held)
for i = 1, 3 do
  kill(n[i])
  advance(15)
  restart(n[i])
  advance(15)
end
for i = 1, 4 do drain(n[i]) advance(10) end
local after = tokens()
local stranded = 1000000 - after.free - after.consumed
expect(stranded >= 0, "more tokens than the budget has")
expect(stranded < 8000, "written off: " .. stranded .. " of a reserve of "
  .. before.held)
rest()
