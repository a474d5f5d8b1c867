//! Calls served over time, and how soon a run recovered from its troubles.

use crate::audit::rules::Record;
use crate::common::event_log::{CallOutcome, Entry};
use crate::common::plot::{self, Curve};
use clap::Args;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct TimelineArgs {
    /// Folders of runs
    #[arg(required = true)]
    pub dirs: Vec<PathBuf>,
    #[arg(long)]
    pub svg: Option<PathBuf>,
}

/// Width of the time slots.
const SLOT_US: u64 = 250_000;
/// A run has recovered when it serves this share of what it served before its first trouble.
const RECOVERED_SHARE: f64 = 0.9;

/// Calls served in each slot of a run, from its first call on.
#[derive(Debug, Clone, PartialEq)]
pub struct Timeline {
    pub served: Vec<u32>,
    /// Times of the first and the last scripted action, from the first call on.
    pub trouble_us: Option<(u64, u64)>,
}

impl Timeline {
    pub fn from_events(events: &[Entry]) -> Timeline {
        let first_call = events.iter().find_map(|event| {
            if let Entry::Call { t, .. } = event {
                Some(*t)
            } else {
                None
            }
        });
        let start_us = first_call.unwrap_or(0);
        let mut served = Vec::new();
        let mut trouble_us: Option<(u64, u64)> = None;
        for event in events {
            match event {
                Entry::Answer {
                    t,
                    end: CallOutcome::Served,
                    ..
                } => {
                    let slot = (t.saturating_sub(start_us) / SLOT_US) as usize;
                    served.resize(served.len().max(slot + 1), 0);
                    served[slot] += 1;
                }
                Entry::Note { t, what, .. } if what == "act" => {
                    let at_us = t.saturating_sub(start_us);
                    trouble_us = Some(trouble_us.map_or((at_us, at_us), |span| (span.0, at_us)));
                }
                _ => {}
            }
        }
        Timeline { served, trouble_us }
    }

    /// Time from the last scripted action until the run serves almost as many calls as before the first one, on average
    /// over two slots; `None` if it never does.
    pub fn recovery_us(&self) -> Option<u64> {
        let (start, end) = self.trouble_us?;
        let before = self
            .served
            .get(..(start / SLOT_US) as usize)
            .filter(|b| b.len() > 1)?;
        // The first slot is left out: responses to its calls are still outstanding at its end.
        let baseline = f64::from(before[1..].iter().sum::<u32>()) / (before.len() - 1) as f64;
        let from = (end / SLOT_US) as usize;
        let pairs = self.served.windows(2).enumerate().skip(from);
        let mut recovered =
            pairs.filter(|(_, w)| f64::from(w[0] + w[1]) / 2.0 >= RECOVERED_SHARE * baseline);
        recovered
            .next()
            .map(|(slot, _)| (slot as u64 * SLOT_US).saturating_sub(end))
    }
}

/// Prints how soon the runs recovered, and draws their timelines to `svg`.
pub fn run(dirs: &[PathBuf], svg: Option<&Path>) -> anyhow::Result<()> {
    let mut timelines = Vec::new();
    for dir in dirs {
        let timeline = Timeline::from_events(&Record::read(dir)?.events);
        let recovery = timeline
            .recovery_us()
            .map_or("not".to_string(), |us| format!("after {} ms", us / 1_000));
        println!("{}: recovered {recovery}", dir.display());
        timelines.push((
            dir.file_name()
                .map_or_else(String::new, |n| n.to_string_lossy().into_owned()),
            timeline,
        ));
    }
    svg.map_or(Ok(()), |path| draw(path, &timelines))
}

fn draw(path: &Path, timelines: &[(String, Timeline)]) -> anyhow::Result<()> {
    let slots_per_second = 1_000_000.0 / SLOT_US as f64;
    let curve = |(name, timeline): &(String, Timeline)| {
        let points = timeline.served.iter().enumerate();
        let points = points
            .map(|(slot, n)| {
                (
                    slot as f64 / slots_per_second,
                    f64::from(*n) * slots_per_second,
                )
            })
            .collect();
        Curve {
            name: name.clone(),
            points,
        }
    };
    plot::write_chart(
        path,
        "calls served a second",
        &timelines.iter().map(curve).collect::<Vec<_>>(),
    )
}

#[cfg(test)]
mod tests;
