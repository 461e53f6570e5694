//! Load and experiments: `foldtrack load run | sweep`.

use super::{say, show, Ended, Failure, FAILED, WRONG};
use clap::{Args, Subcommand};
use foldtrack_load::report::TABLE_HEADER;
use foldtrack_load::{run, Plan, Report};
use std::path::PathBuf;

#[derive(Subcommand)]
pub(super) enum Load {
    /// One run: messages at a stated rate through a forwarder to stand-in partners
    Run(Words),
    /// The same for each share of failing calls and each rate of the plan, beside a plain client with retries
    Sweep(Words),
}

#[derive(Args)]
pub(super) struct Words {
    /// The plan (TOML); without one, the built-in one
    file: Option<PathBuf>,
    /// Another build's program, to be measured by the same plan
    #[arg(long)]
    program: Option<PathBuf>,
    /// One JSON object a line, for programs
    #[arg(long)]
    json: bool,
}

impl Words {
    fn plan(&self) -> Result<Plan, Failure> {
        self.file.as_deref().map_or(Ok(Plan::default()), Plan::read).map_err(|e| Failure(WRONG, e))
    }

    fn program(&self) -> Result<PathBuf, Failure> {
        match &self.program {
            Some(program) => Ok(program.clone()),
            None => std::env::current_exe().map_err(|e| Failure(FAILED, format!("this program: {e}"))),
        }
    }

    fn tell(&self, reports: &[Report]) -> Ended {
        if self.json {
            return reports.iter().try_for_each(|report| {
                let line = serde_json::to_string(report).map_err(|e| Failure(FAILED, e.to_string()))?;
                say(&format!("{line}\n"))
            });
        }
        let rows: Vec<Vec<String>> = reports.iter().map(Report::row).collect();
        say(&show::table(&TABLE_HEADER, &rows, "no run"))
    }
}

pub(super) fn load(load: &Load) -> Ended {
    match load {
        Load::Run(words) => {
            let report =
                run::run_forwarder(&words.program()?, &words.plan()?).map_err(|e| Failure(FAILED, e))?;
            words.tell(&[report])
        }
        Load::Sweep(words) => {
            let (program, plan) = (words.program()?, words.plan()?);
            let mut reports = Vec::new();
            let kept = run::sweep(&program, &plan, |report| {
                // Programs read lines as they come; a table is drawn when its widths are known.
                if words.json {
                    words.tell(std::slice::from_ref(&report)).map_err(|Failure(_, text)| text)?;
                }
                reports.push(report);
                Ok(())
            });
            kept.map_err(|e| Failure(FAILED, e))?;
            if words.json {
                return Ok(());
            }
            words.tell(&reports)
        }
    }
}
