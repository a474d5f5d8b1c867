//! The soak subcommand: runs the seeds one after another, prints a row for each, and writes a report.

use super::faults::FaultKind;
use super::generate::{generate_plan, SoakPlan};
use super::run::{run_plan, RunSettings, SoakOutcome};
use crate::common::process::Program;
use anyhow::{bail, Context};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use std::fmt::Write;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The most breaches of a seed that are printed.
const SHOWN_BREACHES: usize = 5;

/// Arguments of the soak subcommand.
#[derive(Args)]
pub struct SoakArgs {
    /// Seeds to run, as A..B; B is excluded
    #[arg(long, value_parser = parse_seeds)]
    pub seeds: Range<u64>,
    /// Length of the load with faults, in seconds
    #[arg(long, default_value_t = 14)]
    pub seconds: u32,
    /// Time without load or faults after the load, in seconds
    #[arg(long, default_value_t = 10)]
    pub quiet: u64,
    /// Leave out faults of this kind; may be repeated
    #[arg(long)]
    pub without: Vec<FaultKind>,
    /// File to which a Markdown table of the seeds is written
    #[arg(long)]
    pub report: Option<PathBuf>,
    /// Folder for logs, with a subfolder for each seed; those of seeds that passed are removed
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

fn parse_seeds(text: &str) -> Result<Range<u64>, String> {
    let expected = || format!("expected seeds as A..B with A below B, found '{text}'");
    let (first, end) = text.split_once("..").ok_or_else(expected)?;
    let first = first.parse().map_err(|_| expected())?;
    let end = end.parse().map_err(|_| expected())?;
    if first < end {
        Ok(first..end)
    } else {
        Err(expected())
    }
}

/// Runs the seeds.
///
/// # Errors
/// A seed fails a check or can't be run.
pub fn command(program: &Program, args: &SoakArgs) -> anyhow::Result<()> {
    let mut table = String::from(
        "| seed | world | faults | calls | result |\n| --- | --- | --- | --- | --- |\n",
    );
    let mut failed = Vec::new();
    let progress = progress_bar(&args.seeds);
    for seed in args.seeds.clone() {
        progress.set_message(format!("seed {seed}"));
        let plan = generate_plan(seed, args.seconds, &args.without)?;
        let dir = args.dir.join(format!("soak-{seed}"));
        let settings = RunSettings {
            program: program.clone(),
            dir: dir.clone(),
            quiet: Duration::from_secs(args.quiet),
            fault: None,
        };
        remove_logs(&dir)?;
        let outcome = run_plan(&plan, &settings).with_context(|| format!("seed {seed}"));
        let row = row(&plan, &outcome);
        progress.suspend(|| println!("{row}"));
        table += &row;
        table.push('\n');
        match outcome {
            Ok(outcome) if outcome.breaches.is_empty() => remove_logs(&dir)?,
            Ok(outcome) => {
                failed.push(seed);
                progress.suspend(|| print_breaches(&plan, &outcome, &dir));
            }
            Err(error) => {
                failed.push(seed);
                progress
                    .suspend(|| println!("seed {seed}: {error:#}; logs are in {}", dir.display()));
            }
        }
        progress.inc(1);
    }
    progress.finish_and_clear();
    if let Some(report) = &args.report {
        std::fs::write(report, table)?;
    }
    if failed.is_empty() {
        return Ok(());
    }
    bail!("seeds that failed: {failed:?}");
}

fn progress_bar(seeds: &Range<u64>) -> ProgressBar {
    let bar = ProgressBar::new(seeds.end - seeds.start);
    match ProgressStyle::with_template("{pos}/{len} {msg} {elapsed} [{wide_bar}]") {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

fn row(plan: &SoakPlan, outcome: &anyhow::Result<SoakOutcome>) -> String {
    let faults: Vec<&str> = plan.faults.iter().map(|fault| fault.kind.name()).collect();
    let (calls, result) = match outcome {
        Ok(outcome) if outcome.breaches.is_empty() => (outcome.calls, "passed".to_string()),
        Ok(outcome) => (outcome.calls, format!("FAILED: {}", outcome.breaches[0])),
        Err(error) => (0, format!("not played: {error:#}")),
    };
    let mut row = format!("| {} | {} |", plan.seed, plan.topology());
    let _ = write!(row, " {} | {calls} | {result} |", faults.join(", "));
    row
}

fn print_breaches(plan: &SoakPlan, outcome: &SoakOutcome, dir: &Path) {
    for fault in &plan.faults {
        println!("  {fault}");
    }
    for breach in outcome.breaches.iter().take(SHOWN_BREACHES) {
        println!("  {breach}");
    }
    let count = outcome.breaches.len();
    println!("  {count} breaches; logs are in {}", dir.display());
}

/// Removes the logs of an earlier run.
fn remove_logs(dir: &Path) -> anyhow::Result<()> {
    match std::fs::remove_dir_all(dir) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error.into()),
        _ => Ok(()),
    }
}
