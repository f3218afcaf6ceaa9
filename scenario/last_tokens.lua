-- last_tokens.lua: near the end of a budget, tokens held in other regions are
-- recalled for the region that needs them; a refusal before the last 1 % is a
-- fault.
without(argument)
world { seed = 5 }
local n = {}
for i, hall in ipairs { "nord", "sued", "terminal", "nord", "sued", "terminal" } do
  n[i] = node("n" .. i, hall)
end
budget("b", 50000, 600)
advance(2)
-- Every region builds an outage reserve, then only one continues.
for i = 1, 60 do
  request { at = n[i % 6 + 1], amount = 60, lasts = 0.2 }
  advance(0.5)
end
local refused_at
for _ = 1, 2000 do
  local q = request { at = n[1], amount = 100, used = 90, lasts = 0.2 }
  advance(2)
  local got = outcome(q)
  if got == "refused" then
    refused_at = tokens().consumed
    local _, cause = outcome(q)
    print("refused as " .. cause .. " with " .. tokens().free .. " free and " .. tokens().held .. " held; spent " .. tokens().spent)
    break
  end
end
expect(refused_at, "no request was refused")
expect(refused_at >= 50000 * 0.99, "refused at " .. refused_at .. " of 50000")
expect(sums().false_refused == 0, "false refusals: " .. sums().false_refused)
rest()
