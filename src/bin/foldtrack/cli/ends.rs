//! `foldtrack ends`: fetches message outcomes and acknowledges them once they have been written.
//! For sites without a client that does so.

use super::{load, print, CommandError, CommandResult, EXIT_FAILED};
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

/// Timeout of a request; longer than the longest poll of the API, 60 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(70);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

#[derive(Args)]
pub(super) struct Ends {
    /// The site file of the forwarder
    #[arg(long, default_value = "site.toml", env = "FOLDTRACK_SITE")]
    site: PathBuf,
    /// Do not acknowledge the outcomes
    #[arg(long)]
    peek: bool,
    /// Wait for further outcomes
    #[arg(long)]
    follow: bool,
}

/// Writes outcomes as JSON lines, starting with the oldest that is not acknowledged.
pub(super) fn ends(args: &Ends) -> CommandResult {
    let listen = load(&args.site)?.listen;
    let runtime = crate::runtime().map_err(|e| CommandError(EXIT_FAILED, e))?;
    runtime.block_on(async {
        let mut after: Option<u64> = None;
        loop {
            let wait = if args.follow { 20_000 } else { 0 };
            let mut query = format!("/v1/ends?wait_ms={wait}&peek={}", u8::from(args.peek));
            if let Some(after) = after {
                query += &format!("&after={after}");
            }
            let response = get(listen, &query).await.map_err(|e| CommandError(EXIT_FAILED, e))?;
            let outcomes = response["ends"].as_array().cloned().unwrap_or_default();
            let text: String = outcomes.iter().map(|line| format!("{line}\n")).collect();
            print(&text)?;
            // The next request acknowledges the outcomes that have been written.
            after = response["cursor"].as_u64();
            if outcomes.is_empty() && !args.follow {
                return Ok(());
            }
        }
    })
}

/// Sends a GET request and returns the JSON of the response.
async fn get(listen: SocketAddr, path: &str) -> Result<Value, String> {
    let error_text = |e: &dyn std::fmt::Display| format!("{listen}: {e}");
    let request = Request::get(path)
        .header(HOST, listen.to_string())
        .body(Full::default())
        .map_err(|e| error_text(&e))?;
    let mut connection = Connection::open(listen, None, None).await.map_err(|e| error_text(&e))?;
    let response = timeout(REQUEST_TIMEOUT, connection.send(request)).await.map_err(|e| error_text(&e))?;
    let response = response.map_err(|_| error_text(&"the connection was lost"))?;
    let status = response.status();
    let body = connection
        .finish(response.into_body(), MAX_RESPONSE_BYTES)
        .await
        .ok_or(error_text(&"the response was cut off"))?;
    let value: Value = serde_json::from_slice(&body).map_err(|e| error_text(&e))?;
    match value["error"].as_str() {
        Some(problem) => Err(format!("{listen}: {status}: {problem}")),
        None => Ok(value),
    }
}
