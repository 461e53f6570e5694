//! The HTTP server that clients hand their messages in to.

use crate::node::{Answer, Clock, Input, Inputs, Message, Stage};
use bytes::Bytes;
use hatchline::settings::Parsed;
use hatchline::{Effect, Micros};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::time::{sleep, timeout};

const LONGEST_BODY: usize = 64 * 1024;
/// Bytes that a connection buffers at most.
const BUFFER: usize = 64 * 1024;
/// A client that does not finish its request within this span has gone; so long may a connection stand idle.
const BODY_WAIT: Duration = Duration::from_secs(5);
const IDLE: Duration = Duration::from_secs(60);
/// Pause after a connection could not be accepted, for want of descriptors say.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What the connections share.
pub(crate) struct Desk {
    pub settings: Arc<Parsed>,
    pub clock: Clock,
    pub inputs: Inputs,
    pub stage: watch::Receiver<Stage>,
}

/// Serves connections, at most `most` at once, until the stage is [`Stage::Closing`].
pub(crate) async fn serve(listener: TcpListener, desk: Arc<Desk>, most: usize) {
    let places = Arc::new(Semaphore::new(most));
    let mut stage = desk.stage.clone();
    loop {
        let accept = async {
            let place = places.clone().acquire_owned().await;
            (place, listener.accept().await)
        };
        let accepted = tokio::select! {
            accepted = accept => accepted,
            _ = stage.wait_for(|s| *s == Stage::Closing) => return,
        };
        match accepted {
            (Ok(place), Ok((stream, _))) => {
                let desk = desk.clone();
                tokio::spawn(async move {
                    connection(stream, desk).await;
                    drop(place);
                });
            }
            _ => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection(stream: TcpStream, desk: Arc<Desk>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut stage = desk.stage.clone();
    let service = service_fn(|request| {
        let desk = desk.clone();
        async move { Ok::<_, Infallible>(answer(request, &desk).await) }
    });
    let serving = http1::Builder::new()
        .max_buf_size(BUFFER)
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    // Errors are the client's: it has gone, or does not speak HTTP. A request that has come is read before the
    // connection is told to close: it would be cut off unanswered.
    tokio::select! {
        biased;
        _ = serving.as_mut() => return,
        _ = stage.wait_for(|s| *s == Stage::Closing) => serving.as_mut().graceful_shutdown(),
    }
    let _ = serving.await;
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn answer(request: Request<Incoming>, desk: &Desk) -> Response<Full<Bytes>> {
    let mut response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => plain(StatusCode::OK),
        _ => hand_in(request, desk).await.unwrap_or_else(plain),
    };
    if *desk.stage.borrow() != Stage::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Hands a message to the node and waits for what becomes of it.
async fn hand_in(request: Request<Incoming>, desk: &Desk) -> Result<Response<Full<Bytes>>, StatusCode> {
    let message = read(request, desk).await?;
    let (reply, answer) = oneshot::channel();
    desk.inputs.send(Input::HandIn { message: Arc::new(message), reply });
    match answer.await {
        Ok(Answer::TakenOn(mut receipt)) => {
            // When the client has closed, the connection drops this future before it comes here.
            receipt.written = true;
            Ok(plain(StatusCode::ACCEPTED))
        }
        Ok(Answer::Refused { retry_in_ms }) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
            if retry_in_ms > 0 {
                let seconds = format!("{:.3}", retry_in_ms as f64 / 1e3);
                response.headers_mut().extend(HeaderValue::try_from(seconds).ok().map(|v| (RETRY_AFTER, v)));
            }
            Ok(response)
        }
        Err(_) => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn read(request: Request<Incoming>, desk: &Desk) -> Result<Message, StatusCode> {
    const BAD: StatusCode = StatusCode::BAD_REQUEST;
    // The client's time runs since it sent: what the body takes to come counts.
    let now = desk.clock.now();
    let path = request.uri().path().trim_start_matches('/');
    let (class_name, key) = path.split_once('/').unwrap_or((path, ""));
    let known = desk.settings.class_names.iter().position(|n| n == class_name);
    let class = known.ok_or(StatusCode::NOT_FOUND)?;
    if request.method() != Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let rules = &desk.settings.settings.classes[class];
    let key = if rules.in_order { key.rsplit('/').next().unwrap_or("").to_string() } else { String::new() };
    let header = |name: &str| -> Result<Option<String>, StatusCode> {
        let Some(value) = request.headers().get(name) else { return Ok(None) };
        Ok(Some(value.to_str().map_err(|_| BAD)?.trim().to_string()))
    };
    let id = header("X-Request-Id")?.filter(|id| !id.is_empty()).ok_or(BAD)?;
    let left = header("X-Deadline")?.and_then(|t| span(&t)).ok_or(BAD)?;
    let destination = header("X-Consignee")?.and_then(|t| destination(&t)).ok_or(BAD)?;
    let idempotency_key = header("Idempotency-Key")?;
    if rules.effect == Effect::Keyed && idempotency_key.is_none() {
        return Err(BAD);
    }
    let retry = header("X-Retry")?;
    if request.body().size_hint().lower() > LONGEST_BODY as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let body = timeout(BODY_WAIT, Limited::new(request.into_body(), LONGEST_BODY).collect()).await;
    let body = match body.map_err(|_| StatusCode::REQUEST_TIMEOUT)? {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => return Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => return Err(BAD),
    };
    let expires = now.checked_add(left).ok_or(BAD)?;
    Ok(Message { id, class, destination, key, idempotency_key, retry, expires, body })
}

/// A span as a number and a unit: `480m` milliseconds or `900u` microseconds.
fn span(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let factor = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let span = number.parse::<f64>().ok()? * factor;
    (0.0..1e15).contains(&span).then_some(span as Micros)
}

fn destination(text: &str) -> Option<u32> {
    let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let number = pairs.find(|(name, _)| name.trim() == "dest")?.1.trim().parse::<f64>().ok()?;
    (number.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&number)).then_some(number as u32)
}
