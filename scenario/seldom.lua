-- seldom.lua: tokens of a rarely used budget are not spread over the instances:
-- the last tokens are available to any instance that needs them, and none are lost
-- with a crashed one.
without(argument)
world { seed = 5 }
local n = { node("a", "town", "nord"), node("b", "town", "sued"),
  node("c", "town", "terminal") }
for b = 1, 6 do
  budget("b" .. b, 1000)
end
advance(2)
for round = 1, 3 do
  for b = 1, 6 do
    for i = 1, 3 do
      local q = request { at = n[i], budget = "b" .. b, amount = 100, used = 50,
        lasts = 0.2 }
      advance(0.3)
      expect(outcome(q) == "done", "b" .. b .. " at " .. i .. ": " .. outcome(q))
    end
  end
  advance(1)
end
-- 450 of 1000 tokens are used. One instance crashes; it held none of the rest.
kill(n[3])
advance(20)
for b = 1, 6 do
  local q = request { at = n[1 + b % 2], budget = "b" .. b, amount = 550,
    used = 550, lasts = 0.1 }
  advance(3)
  local got, cause = outcome(q)
  expect(got == "done", "the rest of b" .. b .. " is unavailable: " .. got .. " " .. cause)
end
rest()
