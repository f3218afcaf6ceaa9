-- crowd.lua: a customer's requests all come to one instance, 212 per second, over
-- links that are busy. Each waits for its budget for a fifth of its objective at
-- most. One round trip to the home must serve all that wait: with one request per
-- round trip, 17,700 of 60,000 requests were refused with tokens in the budget.
without(argument)
world { seed = 7 }
local n, halls = {}, { "nord", "mitte", "sued" }
for i = 1, 14 do n[i] = node("n" .. i, "one", halls[i % 3 + 1]) end
budget("b", 10000000, 9)
advance(2)
delay(0.005, 0.02)
local SHORT = { tokens = 830, wait_s = 0.08, per_s = 110, priority = 0 }
local MIDDLE = { tokens = 2400, wait_s = 0.1, per_s = 90, priority = 1 }
local LONG = { tokens = 12000, wait_s = 0.3, per_s = 12, priority = 2 }
local STEP_S = 0.02

local function send(list, kind, step)
  local first, last = kind.per_s * STEP_S * (step - 1), kind.per_s * STEP_S * step
  for _ = math.floor(first) + 1, math.floor(last) do
    local q = request { at = n[1], amount = kind.tokens + 300, used = kind.tokens + 100,
                        lasts = 1, priority = kind.priority }
    list[#list + 1] = { q = q, kind = kind }
  end
end

-- The share of the requests that got their tokens within their wait.
local function share_in_time(seconds)
  local list, good = {}, 0
  for step = 1, seconds / STEP_S do
    for _, kind in ipairs { SHORT, MIDDLE, LONG } do send(list, kind, step) end
    advance(STEP_S)
  end
  advance(2.5)
  for _, e in ipairs(list) do
    local got, _, took_s = outcome(e.q)
    if got == "done" and took_s - 1 <= e.kind.wait_s then good = good + 1 end
  end
  return good / #list
end

local at_first = share_in_time(2)
expect(at_first > 0.85, "in the first two seconds: " .. at_first)
local later = share_in_time(2)
expect(later > 0.99, "then: " .. later)
expect(tokens().consumed <= 10000000)
rest()
