-- alone.lua: all instances of a region but one crash at once. The survivor has no
-- witness; it hands its grant over to itself and continues with a new one.
without(argument)
for seed = 1, 4 do
  world { seed = seed }
  local n = { node("a", "town", "nord"), node("b", "town", "sued"), node("c", "town", "nord") }
  budget("b", 100000, 600)
  advance(2)
  for i = 1, 30 do
    request { at = n[i % 3 + 1], amount = 100, lasts = 0.2 }
    advance(0.3)
  end
  kill(n[1])
  kill(n[3])
  request { at = n[2], amount = 5000, lasts = 0.2 } -- needs a witness that is gone
  advance(10)
  local done = 0
  for _ = 1, 60 do
    local q = request { at = n[2], amount = 2000, used = 500, lasts = 0.2 }
    advance(1)
    if outcome(q) == "done" then done = done + 1 end
  end
  expect(done >= 55, "seed " .. seed .. ": requests served by the survivor: " .. done .. " of 60")
  restart(n[1])
  restart(n[3])
  advance(20)
  local q = request { at = n[1], amount = 2000, lasts = 0.2 }
  advance(3)
  expect(outcome(q) == "done")
  rest()
end
