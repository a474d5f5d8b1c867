//! `chalkdeck plan`.

use crate::{draw, read, show, solve};
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
    /// Does it. Errors are one line.
    pub fn run(self) -> anyhow::Result<()> {
        let Command::SiteLoss(args) = self;
        let file = args.file.display().to_string();
        let text = std::fs::read_to_string(&args.file).with_context(|| file.clone())?;
        let cases = solve::cases(&read::read(&file, &text)?)?;
        if args.json {
            println!("{}", serde_json::to_string_pretty(&cases)?);
        } else {
            print!("{}", show::table(&cases));
        }
        args.svg.map_or(Ok(()), |path| draw::svg(&path, &cases))
    }
}
