//! `foldtrack load run | sweep`: load tests with simulated partners.

use super::{print, show, CommandError, CommandResult, EXIT_FAILED, EXIT_USAGE};
use clap::{Args, Subcommand};
use foldtrack_load::report::TABLE_HEADER;
use foldtrack_load::{run, Plan, Report};
use std::path::PathBuf;

#[derive(Subcommand)]
pub(super) enum Load {
    /// Sends messages at a given rate through a forwarder to simulated partners
    Run(LoadArgs),
    /// Runs each failure share and rate of the plan, both with a forwarder and with a plain client
    /// that retries
    Sweep(LoadArgs),
}

#[derive(Args)]
pub(super) struct LoadArgs {
    /// The plan (TOML); by default the built-in one
    file: Option<PathBuf>,
    /// The foldtrack program to measure, instead of this one
    #[arg(long)]
    program: Option<PathBuf>,
    /// Print one JSON object per line
    #[arg(long)]
    json: bool,
}

impl LoadArgs {
    /// Reads the plan.
    fn plan(&self) -> Result<Plan, CommandError> {
        self.file.as_deref().map_or(Ok(Plan::default()), Plan::read).map_err(|e| CommandError(EXIT_USAGE, e))
    }

    /// The program to measure.
    fn program(&self) -> Result<PathBuf, CommandError> {
        match &self.program {
            Some(program) => Ok(program.clone()),
            None => {
                std::env::current_exe().map_err(|e| CommandError(EXIT_FAILED, format!("this program: {e}")))
            }
        }
    }

    /// Prints reports as a table or as JSON lines.
    fn print(&self, reports: &[Report]) -> CommandResult {
        if self.json {
            return reports.iter().try_for_each(|report| {
                let line =
                    serde_json::to_string(report).map_err(|e| CommandError(EXIT_FAILED, e.to_string()))?;
                print(&format!("{line}\n"))
            });
        }
        let rows: Vec<Vec<String>> = reports.iter().map(Report::row).collect();
        print(&show::table(&TABLE_HEADER, &rows, "no runs"))
    }
}

/// Runs a `foldtrack load` command.
pub(super) fn load(load: &Load) -> CommandResult {
    match load {
        Load::Run(args) => {
            let report = run::run_forwarder(&args.program()?, &args.plan()?)
                .map_err(|e| CommandError(EXIT_FAILED, e))?;
            args.print(&[report])
        }
        Load::Sweep(args) => {
            let (program, plan) = (args.program()?, args.plan()?);
            let mut reports = Vec::new();
            let result = run::sweep(&program, &plan, |report| {
                // JSON lines are printed at once; a table needs all rows for the column widths.
                if args.json {
                    args.print(std::slice::from_ref(&report)).map_err(|CommandError(_, text)| text)?;
                }
                reports.push(report);
                Ok(())
            });
            result.map_err(|e| CommandError(EXIT_FAILED, e))?;
            if args.json {
                return Ok(());
            }
            args.print(&reports)
        }
    }
}
