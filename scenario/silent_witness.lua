-- silent_witness.lua: an instance dies; until that is seen, callers whose budgets
-- it was witness or home of get their tokens all the same.
without(argument)
world { seed = 9 }
local n = { node("a", "town", "nord"), node("b", "town", "sued"),
  node("c", "town", "terminal"), node("d", "town", "west") }
for b = 1, 12 do
  budget("b" .. b, 1000000, 1)
end
advance(2)
local function ask(at, amount)
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
ask(n[1], 100)
for i = 2, 4 do
  kill(n[i])
  ask(n[1], 50000) -- far beyond what any witness agreed to
  restart(n[i])
  advance(20)
end
rest()
