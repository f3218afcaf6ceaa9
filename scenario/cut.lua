-- cut.lua: a region that is cut off for hours serves requests from the tokens it
-- was granted, refuses correctly once they are spent, and returns the remainder
-- when the cut heals.
without(argument)
world { seed = 11 }
local a = { node("a1", "nord"), node("a2", "nord") }
local b = { node("b1", "sued"), node("b2", "sued") }
budget("b", 100000, 3600)
advance(2)

local function serve(at, amount)
  local q = request { at = at, amount = amount, lasts = 0.2 }
  advance(1)
  return (outcome(q))
end

for i = 1, 120 do expect(serve(a[i % 2 + 1], 20) == "done") end
cut("nord", true)
local done, refused = 0, 0
for i = 1, 3 * 3600 do
  local got = serve(a[i % 2 + 1], 20)
  if got == "done" then done = done + 1 else refused = refused + 1 end
  if i % 4 == 0 then serve(b[i % 2 + 1], 40) end
end
expect(done > 500, "a cut region serves from its reserve: " .. done)
expect(refused > 0, "refuses once its reserve is spent")
heal("nord")
advance(60)
for _ = 1, 4 do serve(a[1], 50) end
advance(30)
expect(tokens().consumed <= 100000)
rest()
