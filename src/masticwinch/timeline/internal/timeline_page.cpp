#include "masticwinch/timeline/internal/timeline_page.hpp"

namespace masticwinch::internal {

const char *const TimelinePageStart = R"html(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<style>
body { font: 14px sans-serif; margin: 1em 1em 14em; }
#rows { border-collapse: collapse; }
#rows th { position: sticky; top: 0; background: #fff; padding: 2px 6px;
  font-weight: 600; border-bottom: 1px solid #888; }
#rows td { padding: 1px 6px; border-left: 1px solid #ddd; white-space: nowrap; }
#rows td.time { font-family: monospace; border-left: 0; }
#rows tr:hover { background: #f3f6fa; }
#rows tr.same { background: #fff3c4; }
#rows tr.chosen { background: #ffd97a; }
button.event { border: 0; border-radius: 4px; padding: 1px 6px; cursor: pointer;
  font: inherit; }
#details { position: fixed; bottom: 0; left: 0; right: 0; max-height: 13em;
  overflow: auto; background: #fff; border-top: 2px solid #888;
  padding: .5em 1em; font-family: monospace; white-space: pre-wrap; }
#details button { margin-right: .6em; }
</style>
)html";

const char *const TimelinePageBody = R"html(
<p>Order is causal: an event that caused another stands above it, also where the
clocks of two processes differ. Click an event for its details, then an id to
mark all events with that id.</p>
<p><label>Show events that contain <input id="find" size="40"></label>
<span id="count"></span></p>
<table id="rows"></table>
<div id="details">No event chosen.</div>
<script type="application/json" id="events">[)html";

const char *const TimelinePageScript = R"js(
const events = JSON.parse(document.getElementById("events").textContent);
const table = document.getElementById("rows");
const details = document.getElementById("details");
const count = document.getElementById("count");
const lanes = [...new Set(events.map(it => it.process))].sort();
const laneOf = new Map(lanes.map((name, i) => [name, i]));
const rows = [];

function element(parent, tag, text, cls) {
  const made = document.createElement(tag);
  if (text !== undefined) made.textContent = text;
  if (cls) made.className = cls;
  parent.appendChild(made);
  return made;
}

function mark(key, value) {
  events.forEach((it, i) =>
    rows[i].classList.toggle("same", it.fields[key] === value));
}

function choose(index) {
  rows.forEach(row => row.classList.remove("chosen"));
  rows[index].classList.add("chosen");
  const it = events[index];
  details.textContent = "";
  element(details, "div", it.time + "  hlc " + it.hlc + "  " + it.process +
    " incarnation " + it.incarnation + "  " + it.event);
  for (const [key, value] of Object.entries(it.fields)) {
    const button = element(details, "button", key + "=" + value);
    button.onclick = () => mark(key, value);
  }
}

function drawHead() {
  const head = element(table, "tr");
  element(head, "th", "time");
  lanes.forEach(name => element(head, "th", name));
}

function drawEvent(it, index) {
  const row = element(table, "tr");
  element(row, "td", it.time, "time");
  lanes.forEach(() => element(row, "td"));
  const lane = laneOf.get(it.process);
  const button = element(row.children[lane + 1], "button", it.event, "event");
  button.style.background = "hsl(" + (lane * 67) % 360 + " 70% 85%)";
  button.title = Object.entries(it.fields).map(p => p.join("=")).join(" ");
  button.onclick = () => choose(index);
  rows.push(row);
}

function filter(text) {
  let shown = 0;
  events.forEach((it, i) => {
    const visible = JSON.stringify(it).includes(text);
    rows[i].hidden = !visible;
    shown += visible ? 1 : 0;
  });
  count.textContent = shown + " of " + events.length + " events" +
    (leftOut ? "; " + leftOut + " more were left out of this page" : "");
}

drawHead();
events.forEach(drawEvent);
filter("");
document.getElementById("find").oninput = it => filter(it.target.value);
)js";

} // namespace masticwinch::internal
