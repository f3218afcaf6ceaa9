-- late_report.lua: the successor's copy of the shard is older than the grant of
-- the lost home. The absence of a grant from a stale copy does not prove that it is
-- gone: the reports of its holders must reach the sealed grant, or their tokens are
-- lost.
without(argument)
for seed = 1, 5 do
  world { seed = seed }
  local n = {}
  for i = 1, 3 do n[i] = node("n" .. i, "town", "hall" .. i) end
  budget("b", 400000, 600)
  advance(45) -- every instance has read the shard while it was empty
  for _ = 1, 20 do
    for i = 1, 3 do request { at = n[i], amount = 300, used = 200, lasts = 0.2 } end
    advance(0.25)
  end
  advance(1)
  -- Whichever instance is the home, the other two hold accounts of its grant.
  kill(n[seed % 3 + 1])
  advance(15)
  restart(n[seed % 3 + 1])
  advance(60)
  for i = 1, 3 do drain(n[i]) advance(10) end
  local t = tokens()
  local stranded = 400000 - t.free - t.consumed
  expect(stranded < 5000, "seed " .. seed .. ": written off " .. stranded)
  rest()
end
