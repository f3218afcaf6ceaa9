-- stop_in_time.lua: an instance in a planned stop hands over its own grants at once,
-- even while accounts of a lost home can't be settled, because the platform kills
-- it after seconds.
without(argument)
world { seed = 8 }
local n = {}
for i = 1, 5 do n[i] = node("n" .. i, "town", "hall" .. i) end
local count = 40
for i = 1, count do budget("b" .. i, 100000, 60) end
advance(2)
for step = 1, count do
  for i = 1, 5 do
    request { at = n[i], budget = "b" .. step, amount = 50, used = 20, lasts = 3 }
  end
  advance(0.05)
end
advance(3)

-- Home and witness of some budgets crash together: no instance can seal their
-- grants.
kill(n[1])
kill(n[2])
advance(1)
for i = 3, 5 do drain(n[i]) end
advance(6)
for i = 3, 5 do kill(n[i]) end
local recovered = 0
for i = 1, count do
  if tokens("b" .. i).free > 99000 then recovered = recovered + 1 end
end
expect(recovered >= count // 2, "budgets recovered: " .. recovered .. " of " .. count)
