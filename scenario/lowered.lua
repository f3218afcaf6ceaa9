-- lowered.lua: a budget is lowered while it is in use: unspent tokens are
-- recalled, and an older table never raises it again.
without(argument)
world { seed = 12 }
local n = { node("a", "nord"), node("b", "sued"), node("c", "sued") }
budget("b", 100000, 1000)
advance(2)
for i = 1, 100 do
  request { at = n[i % 3 + 1], amount = 100, lasts = 0.1 }
  advance(0.3)
end
advance(5)
local spent = tokens().consumed
budget("b", spent + 300, 1000)
advance(40)
local before = tokens().consumed
for i = 1, 40 do
  request { at = n[i % 3 + 1], amount = 100, lasts = 0.1 }
  advance(2)
end
local more = tokens().consumed - before
expect(more <= 300, "spent after it was lowered: " .. more)
expect(more > 0, "the remaining tokens can be used")
rest()
