-- paused_home.lua: the home of a budget is paused, considered lost, and its grant
-- is sealed. When it resumes it can't reach the store and still counts on its
-- reserve, which others have spent meanwhile: its witness, which must agree to each
-- increase of the home's issue limit, refuses.
without(argument)

local function run(paused)
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
  -- It is paused during its own replacement, and the remainder is spent elsewhere.
  pause(n[paused])
  advance(20)
  for i = 1, 400 do
    request { at = far[i % 2 + 1], amount = 200, lasts = 0.2 }
    advance(0.2)
  end
  advance(2)
  cut_store("town")
  resume(n[paused])
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

for paused = 1, 4 do run(paused) end
