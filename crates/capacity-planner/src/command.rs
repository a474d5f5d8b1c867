//! The command `chalkdeck plan`.

use crate::input::PlanningInput;
use crate::{chart, scenario, table};
use anyhow::Context;
use clap::{Args, Subcommand};
use std::path::PathBuf;

/// What can be planned.
#[derive(Subcommand)]
pub enum Command {
    /// The loss of each site and each pair: where load goes, what is refused, what capacity is missing
    SiteLoss(SiteLossArgs),
}

/// Arguments of `plan site-loss`.
#[derive(Args)]
pub struct SiteLossArgs {
    /// Sites, classes, plans and demand, protobuf text of chalkdeck.plan.v1.SiteLoss
    pub file: PathBuf,
    /// JSON in place of the table
    #[arg(long)]
    pub json: bool,
    /// Draw the cases into this file
    #[arg(long)]
    pub svg: Option<PathBuf>,
}

impl Command {
    /// Runs the command and prints its result.
    ///
    /// # Errors
    /// A file that cannot be read or written, or an invalid input; the text is one line.
    pub fn run(self) -> anyhow::Result<()> {
        match self {
            Command::SiteLoss(args) => args.run(),
        }
    }
}

impl SiteLossArgs {
    fn run(&self) -> anyhow::Result<()> {
        let file = self.file.display().to_string();
        let text = std::fs::read_to_string(&self.file).with_context(|| file.clone())?;
        let input = PlanningInput::parse(&file, &text)?;
        let cases = scenario::solve_all_cases(&input)?;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&cases)?);
        } else {
            print!("{}", table::render(&cases));
        }
        match &self.svg {
            Some(path) => chart::write_svg(path, &cases),
            None => Ok(()),
        }
    }
}
