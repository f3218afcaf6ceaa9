-- paused_home.lua: the home of a budget is paused, taken for gone and sealed.
-- When it wakes up it can't reach the store and still believes in its reserve,
-- which others have spent meanwhile: its witness lets it give out no more.
without(argument)

local function run(sleeper)
  world { seed = 3 }
  local n = {}
  for i = 1, 4 do n[i] = node("n" .. i, "town", "hall" .. i) end
  local far = { node("f1", "else"), node("f2", "else") }
  budget("b", 40000, 3600)
  advance(2)
  for _ = 1, 60 do
    for i = 1, 4 do request { at = n[i], amount = 40, lasts = 0.2 } end
    advance(1)
  end
  -- It sleeps through its own replacement, and the rest is spent elsewhere.
  pause(n[sleeper])
  advance(20)
  for i = 1, 400 do
    request { at = far[i % 2 + 1], amount = 200, lasts = 0.2 }
    advance(0.2)
  end
  advance(2)
  cut_store("town")
  resume(n[sleeper])
  for _ = 1, 40 do
    for i = 1, 4 do request { at = n[i], amount = 100, lasts = 0.2 } end
    advance(0.1)
  end
  advance(10)
  heal("town")
  advance(40)
  expect(tokens().consumed <= 40000)
  rest()
end

for sleeper = 1, 4 do run(sleeper) end
