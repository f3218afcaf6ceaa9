-- silent_witness.lua: an instance crashes. Until that is detected, callers still get
-- tokens of budgets for which it was the home, or the witness, which agrees to each
-- increase of the home's issue limit.
without(argument)
world { seed = 9 }
local n = { node("a", "town", "nord"), node("b", "town", "sued"),
  node("c", "town", "terminal"), node("d", "town", "west") }
for b = 1, 12 do
  budget("b" .. b, 1000000, 1)
end
advance(2)
local function expect_served(at, amount)
  local q = {}
  for b = 1, 12 do
    q[b] = request { at = at, budget = "b" .. b, amount = amount, lasts = 0.1 }
  end
  advance(2.5)
  for b = 1, 12 do
    local got, cause = outcome(q[b])
    expect(got == "done", "b" .. b .. " is " .. got .. " " .. cause)
  end
end
expect_served(n[1], 100)
for i = 2, 4 do
  kill(n[i])
  expect_served(n[1], 50000) -- far over any limit that a witness agreed to
  restart(n[i])
  advance(20)
end
rest()
