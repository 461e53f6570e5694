//! Fetches ends, and acknowledges them once they are written: for sites without a client that does.

use super::{load, say, Ended, Failure, FAILED};
use crate::connections::Connection;
use clap::Args;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::Request;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::timeout;

const ANSWER: Duration = Duration::from_secs(70);
const LONGEST_ANSWER: usize = 16 << 20;

#[derive(Args)]
pub(super) struct Ends {
    /// The site file of the forwarder
    #[arg(long, default_value = "site.toml", env = "FOLDTRACK_SITE")]
    site: PathBuf,
    /// Shows without acknowledging
    #[arg(long)]
    peek: bool,
    /// Goes on and waits for more
    #[arg(long)]
    follow: bool,
}

/// Writes ends as JSON lines, the oldest that is not acknowledged first.
pub(super) fn ends(ends: &Ends) -> Ended {
    let to = load(&ends.site)?.listen;
    let runtime = crate::runtime().map_err(|e| Failure(FAILED, e))?;
    runtime.block_on(async {
        let mut after: Option<u64> = None;
        loop {
            let wait = if ends.follow { 20_000 } else { 0 };
            let mut query = format!("/v1/ends?wait_ms={wait}&peek={}", u8::from(ends.peek));
            if let Some(after) = after {
                query += &format!("&after={after}");
            }
            let told = get(to, &query).await.map_err(|e| Failure(FAILED, e))?;
            let lines = told["ends"].as_array().cloned().unwrap_or_default();
            let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
            say(&text)?;
            // Asking on acknowledges what has been written out.
            after = told["cursor"].as_u64();
            if lines.is_empty() && !ends.follow {
                return Ok(());
            }
        }
    })
}

async fn get(to: SocketAddr, path: &str) -> Result<Value, String> {
    let told = |e: &dyn std::fmt::Display| format!("{to}: {e}");
    let request =
        Request::get(path).header(HOST, to.to_string()).body(Full::default()).map_err(|e| told(&e))?;
    let mut connection = Connection::open(to, None, None).await.map_err(|e| told(&e))?;
    let response = timeout(ANSWER, connection.send(request)).await.map_err(|e| told(&e))?;
    let response = response.map_err(|_| told(&"the connection broke"))?;
    let status = response.status();
    let body =
        connection.finish(response.into_body(), LONGEST_ANSWER).await.ok_or(told(&"the answer broke off"))?;
    let value: Value = serde_json::from_slice(&body).map_err(|e| told(&e))?;
    match value["error"].as_str() {
        Some(problem) => Err(format!("{to}: {status}: {problem}")),
        None => Ok(value),
    }
}
