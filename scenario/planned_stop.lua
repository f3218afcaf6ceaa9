-- planned_stop.lua: every instance is replaced in turn under load: no request is
-- aborted, no refusal is false, and at the end no tokens are held.
without(argument)
world { seed = 21 }
local halls, n = { "nord", "sued", "terminal" }, {}
for i = 1, 7 do n[i] = node("n" .. i, halls[i % 3 + 1]) end
budget("b", 500000, 900)
advance(2)
local out_of_rotation = {}
local function load(steps)
  for _ = 1, steps do
    for i = 1, 7 do
      if not out_of_rotation[i] then request { at = n[i], amount = 30, used = 20, lasts = 1 } end
    end
    advance(0.25)
  end
end
load(40)
for i = 1, 7 do
  out_of_rotation[i] = true -- the load balancer stops sending to it
  load(8)       -- its requests end
  drain(n[i])
  load(40)
  expect(drained(n[i]), "instance " .. i .. " still holds tokens or records")
  restart(n[i])
  load(20)
  out_of_rotation[i] = nil
end
local s = sums()
expect(s.lost == 0, "requests aborted: " .. s.lost)
expect(s.false_refused == 0, "false refusals: " .. s.false_refused)
for i = 1, 7 do out_of_rotation[i] = true end
advance(3)
for i = 1, 7 do drain(n[i]) advance(3) end
advance(20)
local t = tokens()
expect(t.free + t.consumed == 500000, "held at the end: "
  .. 500000 - t.free - t.consumed)
rest("bills")
