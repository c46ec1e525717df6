//! Reads how well streams were placed off the log lines of all routers.
//!
//! Each choice of an engine (`server.chosen` with a prompt) is set against what really ran there just
//! then, by the choices and ends that all routers logged; a router that starts anew has lost its
//! streams. An engine counts from its first choice until it is suspected or replaced. Lines may have
//! other text before the JSON object, as when several processes' output was gathered; lines that hold
//! none are counted and left out.

use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// One line of a log, as far as it matters here.
#[derive(Debug, Deserialize)]
struct Line {
    ts_ms: u64,
    event: String,
    #[serde(default)]
    vm: String,
    #[serde(default)]
    request: String,
    #[serde(default)]
    server: String,
    prompt: Option<u64>,
    #[serde(default)]
    own_requests: u32,
    #[serde(default)]
    peer_requests: u32,
    reported_requests: Option<u32>,
    first_event_ms: Option<u64>,
    longest_pause_ms: Option<u64>,
    #[serde(default)]
    reason: String,
}

/// A stream's time at one engine, in milliseconds of the logs' clock.
#[derive(Clone, Debug)]
struct Run {
    engine: String,
    from_ms: u64,
    to_ms: u64,
    believed: u32,
    reported: Option<u32>,
}

/// Choices of one slice of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Slice {
    /// Choices of an engine for a stream.
    pub choices: usize,
    /// Streams that really ran at the chosen engines, in the mean.
    pub real: f64,
    /// The same at the busiest chosen one.
    pub most: usize,
    /// What routers believed to run there, their own and their peers' streams, in the mean.
    pub believed: f64,
    /// What the engines that were asked answered, in the mean; `None` where none was.
    pub reported: Option<f64>,
    /// Share of choices of an engine with more streams than the lightest tenth of the engines.
    pub heavier: f64,
    /// The same, with two streams more.
    pub heavier_by_two: f64,
    /// Share of the engines at which nothing ran.
    pub idle: f64,
}

/// What the logs say of placement.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    /// By the start of the slice, in seconds since the first line.
    pub slices: BTreeMap<u64, Slice>,
    /// Waits for the first event, in milliseconds, the shortest first.
    pub first_events: Vec<u64>,
    /// Streams whose first event or a pause was late, by what failed before.
    pub late: BTreeMap<String, usize>,
    /// Lines that could not be read.
    pub unreadable: usize,
}

/// From which wait or pause on a stream counts as late.
#[derive(Clone, Copy, Debug)]
pub struct Objectives {
    /// For the first event, in milliseconds.
    pub first_event_ms: u64,
    /// For a pause between two, in milliseconds.
    pub pause_ms: u64,
}

/// Reads log lines, cutting the time into slices of `slice_s` seconds.
pub fn read_placement(text: &str, slice_s: u64, objectives: Objectives) -> Placement {
    let mut placement = Placement::default();
    let mut lines = Vec::new();
    for line in text.lines() {
        match object_in(line) {
            Some(line) => lines.push(line),
            None => placement.unreadable += 1,
        }
    }
    lines.sort_by_key(|line| line.ts_ms);
    let runs = runs_of(&lines);
    let engines = engines_of(&lines, &runs);
    let begin_ms = lines.first().map_or(0, |l| l.ts_ms);
    placement.slices = slices_of(&runs, &engines, begin_ms, slice_s);
    read_ends(&lines, objectives, &mut placement);
    placement
}

fn object_in(line: &str) -> Option<Line> {
    let start = line.find("{\"ts_ms\"")?;
    serde_json::from_str(line[start..].trim_end()).ok()
}

/// The runs of all streams, in the order of their choices.
fn runs_of(lines: &[Line]) -> Vec<Run> {
    let mut runs: Vec<Run> = Vec::new();
    let mut open: HashMap<(&str, &str), usize> = HashMap::new();
    let last_ms = lines.last().map_or(0, |line| line.ts_ms);
    for line in lines {
        if line.event == "process.started" {
            let lost = open.extract_if(|(vm, _), _| *vm == line.vm);
            lost.for_each(|(_, run)| runs[run].to_ms = line.ts_ms);
        }
        let is_choice = line.event == "server.chosen" && line.prompt.is_some();
        if !is_choice && line.event != "request.ended" {
            continue;
        }
        let key = (line.vm.as_str(), line.request.as_str());
        if let Some(former) = open.remove(&key) {
            runs[former].to_ms = line.ts_ms;
        }
        if is_choice {
            open.insert(key, runs.len());
            runs.push(Run {
                engine: line.server.clone(),
                from_ms: line.ts_ms,
                to_ms: last_ms,
                believed: line.own_requests + line.peer_requests,
                reported: line.reported_requests,
            });
        }
    }
    runs
}

/// An engine's life, as far as the logs show it, and the runs there.
#[derive(Debug)]
struct EngineLife {
    from_ms: u64,
    to_ms: u64,
    runs: Vec<(u64, u64)>,
}

impl EngineLife {
    fn lives_at(&self, at_ms: u64) -> bool {
        self.from_ms <= at_ms && at_ms < self.to_ms
    }

    /// Streams that run there at a moment, those that begin just then left out.
    fn running(&self, at_ms: u64) -> usize {
        let runs = self.runs.iter();
        runs.filter(|(from, to)| *from < at_ms && at_ms < *to)
            .count()
    }
}

fn engines_of<'a>(lines: &[Line], runs: &'a [Run]) -> HashMap<&'a str, EngineLife> {
    let mut engines: HashMap<&str, EngineLife> = HashMap::new();
    for run in runs {
        let engine = engines.entry(&run.engine).or_insert(EngineLife {
            from_ms: run.from_ms,
            to_ms: u64::MAX,
            runs: Vec::new(),
        });
        engine.runs.push((run.from_ms, run.to_ms));
    }
    let ends = ["server.suspected", "server.replaced"];
    for line in lines.iter().filter(|l| ends.contains(&l.event.as_str())) {
        if let Some(engine) = engines.get_mut(line.server.as_str()) {
            engine.to_ms = engine.to_ms.min(line.ts_ms);
        }
    }
    engines
}

fn slices_of(
    runs: &[Run],
    engines: &HashMap<&str, EngineLife>,
    begin_ms: u64,
    slice_s: u64,
) -> BTreeMap<u64, Slice> {
    let mut by_slice: BTreeMap<u64, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        let since_s = (run.from_ms - begin_ms) / 1_000;
        by_slice
            .entry(since_s / slice_s * slice_s)
            .or_default()
            .push(run);
    }
    let slices = by_slice.into_iter();
    slices
        .map(|(at, runs)| (at, slice_of(&runs, engines)))
        .collect()
}

fn slice_of(runs: &[&Run], engines: &HashMap<&str, EngineLife>) -> Slice {
    let mut slice = Slice {
        choices: runs.len(),
        ..Slice::default()
    };
    let count = runs.len() as f64;
    let mut reported = Vec::new();
    for run in runs {
        let real = engines[run.engine.as_str()].running(run.from_ms);
        let living = engines.values().filter(|e| e.lives_at(run.from_ms));
        let mut loads: Vec<usize> = living.map(|e| e.running(run.from_ms)).collect();
        loads.sort_unstable();
        // The chosen one may have been suspected by another router just before.
        let lightest_tenth = loads.get(loads.len() / 10).copied().unwrap_or(real);
        let idle = loads.iter().filter(|load| **load == 0).count();
        slice.real += real as f64 / count;
        slice.most = slice.most.max(real);
        slice.believed += f64::from(run.believed) / count;
        slice.heavier += f64::from(u8::from(real > lightest_tenth)) / count;
        slice.heavier_by_two += f64::from(u8::from(real > lightest_tenth + 1)) / count;
        slice.idle += idle as f64 / loads.len().max(1) as f64 / count;
        reported.extend(run.reported);
    }
    if !reported.is_empty() {
        let sum: u32 = reported.iter().sum();
        slice.reported = Some(f64::from(sum) / reported.len() as f64);
    }
    slice
}

/// Waits for first events, and late streams by the failures of their attempts.
fn read_ends(lines: &[Line], objectives: Objectives, placement: &mut Placement) {
    let mut failures: HashMap<&str, Vec<&str>> = HashMap::new();
    for line in lines {
        match line.event.as_str() {
            "send.failed" => failures
                .entry(&line.request)
                .or_default()
                .push(&line.reason),
            "request.ended" => {
                let Some(first_ms) = line.first_event_ms else {
                    continue;
                };
                placement.first_events.push(first_ms);
                let pause_ms = line.longest_pause_ms.unwrap_or_default();
                let is_late =
                    first_ms > objectives.first_event_ms || pause_ms > objectives.pause_ms;
                if is_late {
                    let failed = failures.get(line.request.as_str());
                    let cause =
                        failed.map_or("no attempt failed".to_owned(), |f| f.join(", then "));
                    *placement.late.entry(cause).or_default() += 1;
                }
            }
            _ => {}
        }
    }
    placement.first_events.sort_unstable();
}

impl Placement {
    /// The wait for the first event at a share of all streams, in milliseconds.
    pub fn first_event_at(&self, share: f64) -> Option<u64> {
        let index = (self.first_events.len() as f64 * share) as usize;
        let last = self.first_events.len().checked_sub(1)?;
        self.first_events.get(index.min(last)).copied()
    }
}

impl fmt::Display for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "second  choices  real  most  believed  reported  heavier  by two  idle"
        )?;
        for (at, slice) in &self.slices {
            let reported = slice.reported.map_or("-".to_owned(), |r| format!("{r:.2}"));
            writeln!(
                f,
                "{at:>6}  {:>7}  {:>4.2}  {:>4}  {:>8.2}  {reported:>8}  {:>7.2}  {:>6.2}  {:>4.2}",
                slice.choices,
                slice.real,
                slice.most,
                slice.believed,
                slice.heavier,
                slice.heavier_by_two,
                slice.idle,
            )?;
        }
        for share in [0.5, 0.9, 0.99] {
            if let Some(wait_ms) = self.first_event_at(share) {
                writeln!(
                    f,
                    "first event of {share} of the streams within {wait_ms} ms"
                )?;
            }
        }
        for (cause, count) in &self.late {
            writeln!(f, "late: {count:>5}  {cause}")?;
        }
        writeln!(f, "lines that hold no log line: {}", self.unreadable)
    }
}
