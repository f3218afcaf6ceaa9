-- reserve.lua: in an outage of the store that lasts longer than a budget's reserve,
-- the tokens go to the most urgent requests, and whatever fails beside it no budget
-- is overspent.
without(argument)

local TOTAL, OUTAGE_S, STEP_S = 40000000, 8, 0.05
local KINDS = {
  { tokens = 830, per_s = 60, priority = 0 },
  { tokens = 2400, per_s = 40, priority = 1 },
  { tokens = 12000, per_s = 8, priority = 2 },
}
local n

local function build(seed)
  world { seed = seed }
  local halls = { "nord", "mitte", "sued" }
  n = {}
  for i = 1, 8 do n[i] = node("n" .. i, "one", halls[i % 3 + 1]) end
  budget("b", TOTAL, 4)
  advance(2)
end

-- Sends all kinds for some seconds to three instances; returns what was sent. `fault`
-- is called with the number of each step.
local function load(seconds, fault)
  local list = {}
  for step = 1, seconds / STEP_S do
    if fault then fault(step) end
    for i, kind in ipairs(KINDS) do
      local first, last = kind.per_s * STEP_S * (step - 1), kind.per_s * STEP_S * step
      for k = math.floor(first) + 1, math.floor(last) do
        local q = request { at = n[(k + i) % 3 + 1], amount = kind.tokens,
                            used = kind.tokens - 100, lasts = 0.5, priority = kind.priority }
        list[#list + 1] = { q = q, priority = kind.priority }
      end
    end
    advance(STEP_S)
  end
  return list
end

-- The served share of one priority, and the mean seconds until a refusal.
local function served(list, priority)
  local sent, done, refused, seconds = 0, 0, 0, 0
  for _, e in ipairs(list) do
    if e.priority == priority then
      local got, _, took_s = outcome(e.q)
      sent = sent + 1
      if got == "done" then done = done + 1 end
      if got == "refused" then refused, seconds = refused + 1, seconds + took_s end
    end
  end
  return done / sent, refused > 0 and seconds / refused or 0
end

local function outage(seed, fault)
  build(seed)
  load(15)
  store("down")
  announce_outage(true)
  local list = load(OUTAGE_S, fault)
  store("up")
  lose(0, 0)
  announce_outage(false)
  local after = load(3)
  advance(30)
  rest()
  return list, after
end

local list, after = outage(1)
local urgent = served(list, 0)
local least, refused_s = served(list, 2)
print("served in the outage", urgent, served(list, 1), least, "refused after", refused_s)
expect(urgent > 0.98, "most urgent served: " .. urgent)
expect(least < 0.5, "least urgent served: " .. least)
expect(refused_s < 0.02, "refused after " .. refused_s)
expect(served(after, 2) > 0.95, "with the store back: " .. served(after, 2))

-- Each of the eight instances in turn, so that the budget's home and the witness of
-- its grant are among them.
for victim = 1, 8 do
  outage(10 + victim, function(step) if step == 40 then kill(n[victim]) end end)
  outage(20 + victim, function(step)
    if step == 40 then pause(n[victim]) end
    if step == 100 then resume(n[victim]) end
  end)
end
-- Messages lost and doubled, and late ones.
outage(40, function(step) if step == 1 then lose(0.2, 0) end end)
outage(41, function(step)
  if step == 1 then delay(0.2, 0.9) end
  if step == OUTAGE_S / STEP_S then delay(0.0005, 0.003) end
end)
-- Instances start again in the outage, and homes move.
outage(42, function(step)
  if step == 20 then restart(n[1]) end
  if step == 60 then kill(n[5]) end
  if step == 80 then restart(n[5]) end
end)
-- The store comes back from a copy.
build(43)
load(10)
store("down")
announce_outage(true)
load(3)
restore(2)
store("up")
announce_outage(false)
load(12)
advance(30)
rest()
