//! Runs over time: calls served in each slot, and how soon a run recovered after its last trouble.

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

/// Length of a slot in microseconds.
const SLOT: u64 = 250_000;
/// A run has recovered when it serves this part of what it served before the first trouble.
const RECOVERED: f64 = 0.9;

/// Served calls of a run by slots from its first call on.
#[derive(Debug, Clone, PartialEq)]
pub struct Timeline {
    pub served: Vec<u32>,
    /// When the first trouble began and the last act was done, in microseconds from the first call.
    pub trouble: Option<(u64, u64)>,
}

impl Timeline {
    pub fn of(lines: &[Entry]) -> Timeline {
        let first = lines.iter().find_map(|l| {
            if let Entry::Call { t, .. } = l {
                Some(*t)
            } else {
                None
            }
        });
        let first = first.unwrap_or(0);
        let mut served = Vec::new();
        let mut trouble: Option<(u64, u64)> = None;
        for line in lines {
            match line {
                Entry::Answer {
                    t,
                    end: CallOutcome::Served,
                    ..
                } => {
                    let slot = (t.saturating_sub(first) / SLOT) as usize;
                    served.resize(served.len().max(slot + 1), 0);
                    served[slot] += 1;
                }
                Entry::Note { t, what, .. } if what == "act" => {
                    let at = t.saturating_sub(first);
                    trouble = Some(trouble.map_or((at, at), |was| (was.0, at)));
                }
                _ => {}
            }
        }
        Timeline { served, trouble }
    }

    /// How long after its last act the run served again as it did before its first, over two slots; none: it did not.
    pub fn recovery(&self) -> Option<u64> {
        let (begin, end) = self.trouble?;
        let before = self
            .served
            .get(..(begin / SLOT) as usize)
            .filter(|b| b.len() > 1)?;
        // The first slot is short of its answers.
        let usual = f64::from(before[1..].iter().sum::<u32>()) / (before.len() - 1) as f64;
        let from = (end / SLOT) as usize;
        let pairs = self.served.windows(2).enumerate().skip(from);
        let mut good = pairs.filter(|(_, w)| f64::from(w[0] + w[1]) / 2.0 >= RECOVERED * usual);
        good.next()
            .map(|(slot, _)| (slot as u64 * SLOT).saturating_sub(end))
    }
}

/// Prints recoveries of runs, and draws them.
pub fn run(dirs: &[PathBuf], svg: Option<&Path>) -> anyhow::Result<()> {
    let mut lines = Vec::new();
    for dir in dirs {
        let timeline = Timeline::of(&Record::read(dir)?.lines);
        let recovery = timeline
            .recovery()
            .map_or("not".to_string(), |us| format!("after {} ms", us / 1_000));
        println!("{}: recovered {recovery}", dir.display());
        lines.push((
            dir.file_name()
                .map_or_else(String::new, |n| n.to_string_lossy().into_owned()),
            timeline,
        ));
    }
    svg.map_or(Ok(()), |path| draw(path, &lines))
}

fn draw(path: &Path, lines: &[(String, Timeline)]) -> anyhow::Result<()> {
    let per_second = 1_000_000.0 / SLOT as f64;
    let curve = |(name, timeline): &(String, Timeline)| {
        let points = timeline.served.iter().enumerate();
        let points = points
            .map(|(slot, n)| (slot as f64 / per_second, f64::from(*n) * per_second))
            .collect();
        Curve {
            name: name.clone(),
            points,
        }
    };
    plot::write_chart(
        path,
        "calls served a second",
        &lines.iter().map(curve).collect::<Vec<_>>(),
    )
}

#[cfg(test)]
mod tests;
