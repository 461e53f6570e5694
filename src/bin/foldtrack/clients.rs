//! The HTTP server that clients hand their messages in to.

use crate::clock::Clock;
use crate::door::{Answer, Input, Inputs, Stage};
use crate::ends_api::{self, Fronts};
use crate::message::Message;
use crate::streams::{HeadScan, Scanned};
use bytes::Bytes;
use hatchline::settings::Parsed;
use hatchline::{Effect, Micros};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, Instant};

const LONGEST_BODY: usize = 64 * 1024;
/// Bytes that a connection buffers at most, and so the longest head.
const BUFFER: usize = 16 * 1024;
/// Longest name or key of a message.
const LONGEST_NAME: usize = 256;
/// A client whose head, or whose body after it, does not end within these spans has gone: clients wait 400 ms
/// for an answer. So long may a connection stand idle, too.
const HEAD_WAIT: Duration = Duration::from_secs(2);
const BODY_WAIT: Duration = Duration::from_millis(800);
/// A connection that has said nothing for so long is the first to go when places are short.
const SILENT: Duration = Duration::from_millis(100);
/// Answers close their connections when more than this part of the places is taken by those that have asked.
const CROWDED: usize = 3;
/// Pause after a connection could not be accepted, for want of descriptors say.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What the connections share.
pub(crate) struct Desk {
    pub settings: Arc<Parsed>,
    pub clock: Clock,
    pub inputs: Inputs,
    pub stage: watch::Receiver<Stage>,
    /// Bytes of bodies that may still be read before their messages are handed on.
    pub bodies: Semaphore,
    /// At a site of its own: what else may be asked.
    pub fronts: Option<Fronts>,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    /// No request has come on it yet.
    Silent,
    /// Between two requests.
    Idle,
    /// A request is open.
    Request,
}

#[derive(Debug)]
struct Place {
    doing: Doing,
    since: Instant,
    /// Tells the connection to leave unless a request is open.
    leave: Arc<Notify>,
}

/// The places for connections. Guards against connections that say nothing or stay for good: where places are
/// short, those without an open request make room for new ones.
#[derive(Debug)]
struct Places {
    taken: Mutex<BTreeMap<usize, Place>>,
    most: usize,
    freed: Notify,
}

impl Places {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<usize, Place>> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until another connection fits, once one that can go has been told to.
    async fn room(&self) {
        loop {
            let freed = self.freed.notified();
            {
                let taken = self.lock();
                if taken.len() < self.most {
                    return;
                }
                if let Some(place) = first_to_go(&taken, Instant::now()) {
                    place.leave.notify_one();
                }
            }
            freed.await;
        }
    }

    fn does(&self, number: usize, doing: Doing) {
        if let Some(place) = self.lock().get_mut(&number) {
            (place.doing, place.since) = (doing, Instant::now());
        }
        if doing == Doing::Idle {
            self.freed.notify_one();
        }
    }

    /// Guards against clients that ask once and keep their connection: what stands in front of them holds only
    /// so many, and turns further requests away though this process has time.
    fn are_crowded(&self) -> bool {
        let taken = self.lock();
        taken.values().filter(|p| p.doing != Doing::Silent).count() > self.most / CROWDED
    }

    fn has_request(&self, number: usize) -> bool {
        self.lock().get(&number).is_some_and(|p| p.doing == Doing::Request)
    }
}

/// Which connection makes room: one that says nothing, then the one without a request for longest.
fn first_to_go(taken: &BTreeMap<usize, Place>, now: Instant) -> Option<&Place> {
    let rank = |p: &Place| match p.doing {
        Doing::Silent if now.saturating_duration_since(p.since) > SILENT => Some(0),
        Doing::Silent | Doing::Idle => Some(1),
        Doing::Request => None,
    };
    let can_go = taken.values().filter_map(|p| Some((rank(p)?, p)));
    can_go.min_by_key(|(rank, p)| (*rank, p.since)).map(|(_, p)| p)
}

/// A connection's own place, free again when this is dropped.
struct Seat {
    places: Arc<Places>,
    number: usize,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.places.lock().remove(&self.number);
        self.places.freed.notify_one();
    }
}

/// Serves connections, at most `most` at once, until the stage is [`Stage::Closing`].
pub(crate) async fn serve(listener: TcpListener, desk: Arc<Desk>, most: usize) {
    let places = Arc::new(Places { taken: Mutex::default(), most, freed: Notify::new() });
    let mut stage = desk.stage.clone();
    for number in 0.. {
        let accept = async {
            places.room().await;
            listener.accept().await
        };
        let accepted = tokio::select! {
            accepted = accept => accepted,
            _ = stage.wait_for(|s| *s == Stage::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let leave = Arc::new(Notify::new());
                let since = Instant::now();
                let place = Place { doing: Doing::Silent, since, leave: leave.clone() };
                places.lock().insert(number, place);
                let seat = Seat { places: places.clone(), number };
                tokio::spawn(connection(stream, desk.clone(), seat, leave));
                // A crowd that connects at once leaves the others their turn.
                yield_now().await;
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection(stream: TcpStream, desk: Arc<Desk>, seat: Seat, leave: Arc<Notify>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut stage = desk.stage.clone();
    let (sound, heads) = (Arc::new(AtomicUsize::new(0)), AtomicUsize::new(0));
    let scan = HeadScan::new(sound.clone());
    let service = service_fn(|request: Request<Incoming>| {
        let sound = heads.fetch_add(1, Ordering::Relaxed) < sound.load(Ordering::Relaxed);
        let (desk, places, number) = (desk.clone(), seat.places.clone(), seat.number);
        places.does(number, Doing::Request);
        async move {
            let mut response = answer(request, sound, &desk).await;
            if places.are_crowded() {
                response = closing(response);
            }
            places.does(number, Doing::Idle);
            Ok::<_, Infallible>(response)
        }
    });
    let serving = http1::Builder::new()
        .max_buf_size(BUFFER)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WAIT)
        .serve_connection(TokioIo::new(Scanned { stream, scan }), service);
    tokio::pin!(serving);
    // Errors are the client's: it has gone, or does not speak HTTP. A request that has come is read before the
    // connection is told to close: it would be cut off unanswered.
    loop {
        tokio::select! {
            biased;
            _ = serving.as_mut() => return,
            _ = stage.wait_for(|s| *s == Stage::Closing) => break,
            () = leave.notified() => {
                if !seat.places.has_request(seat.number) {
                    return;
                }
                // Another has to go in its stead.
                seat.places.freed.notify_one();
            }
        }
    }
    serving.as_mut().graceful_shutdown();
    let _ = serving.await;
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn answer(request: Request<Incoming>, sound: bool, desk: &Desk) -> Response<Full<Bytes>> {
    // What follows on the connection can't be told apart behind a chunked body; see `streams`.
    let last = request.headers().contains_key(TRANSFER_ENCODING);
    let response = match (request.method(), request.uri().path()) {
        _ if !sound => plain(StatusCode::BAD_REQUEST),
        (&Method::GET, "/healthz") => plain(StatusCode::OK),
        (&Method::GET, path) if path.starts_with("/v1/") => {
            let Some(fronts) = &desk.fronts else { return closing(plain(StatusCode::NOT_FOUND)) };
            match path.strip_prefix("/v1/messages/") {
                Some(id) => ends_api::message(id, &desk.inputs).await,
                None if path == "/v1/ends" => {
                    ends_api::ends(request.uri().query().unwrap_or(""), fronts, &desk.inputs).await
                }
                None => plain(StatusCode::NOT_FOUND),
            }
        }
        _ => hand_in(request, desk).await.unwrap_or_else(plain),
    };
    // A client that sends what is wrong does not get to go on at once.
    if last || response.status().is_client_error() || *desk.stage.borrow() != Stage::Serving {
        return closing(response);
    }
    response
}

fn closing(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
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
        Ok(Answer::Known { over: false }) => Ok(plain(StatusCode::ACCEPTED)),
        Ok(Answer::Known { over: true }) => Err(StatusCode::CONFLICT),
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
        let mut values = request.headers().get_all(name).iter();
        let Some(value) = values.next() else { return Ok(None) };
        // Of two, a target could go by the other one.
        let value = value.to_str().ok().filter(|v| values.next().is_none() && v.len() <= LONGEST_NAME);
        Ok(Some(value.ok_or(BAD)?.trim().to_string()))
    };
    let id = header("X-Request-Id")?.filter(|id| !id.is_empty()).ok_or(BAD)?;
    let told = header("X-Deadline")?;
    let (left, destination) = match &desk.fronts {
        None => {
            let destination = header("X-Consignee")?.and_then(|t| destination(&t)).ok_or(BAD)?;
            (told.and_then(|t| span(&t)), destination)
        }
        // A site's clients name partners, and need not know what the class says.
        Some(fronts) => {
            let partner = header("X-Partner")?.ok_or(BAD)?;
            let number = fronts.partners.get(&partner).ok_or(StatusCode::NOT_FOUND)?;
            (told.map_or(Some(rules.deadline), |t| span(&t)), *number)
        }
    };
    let left = left.filter(|l| *l <= rules.deadline).ok_or(BAD)?;
    let idempotency_key = header("Idempotency-Key")?;
    if rules.effect == Effect::Keyed && idempotency_key.is_none() {
        return Err(BAD);
    }
    let retry = header("X-Retry")?;
    if key.len() > LONGEST_NAME {
        return Err(BAD);
    }
    if request.body().size_hint().lower() > LONGEST_BODY as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    // Guards the memory against a crowd of bodies at once.
    let length = request.body().size_hint().upper().map_or(LONGEST_BODY, |n| n as usize) as u32;
    let body = async {
        let _room = desk.bodies.acquire_many(length).await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
        match Limited::new(request.into_body(), LONGEST_BODY).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
            Err(_) => Err(BAD),
        }
    };
    let body = timeout(BODY_WAIT, body).await.map_err(|_| StatusCode::REQUEST_TIMEOUT)??;
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silent_connections_make_room_first_and_open_requests_never() {
        let start = Instant::now();
        let now = start + Duration::from_secs(1);
        let place = |doing, age| {
            let since = now - Duration::from_millis(age);
            Place { doing, since, leave: Arc::default() }
        };
        let all = [
            place(Doing::Request, 900),
            place(Doing::Silent, 50),
            place(Doing::Idle, 200),
            place(Doing::Silent, 150),
        ];
        let mut taken: BTreeMap<usize, Place> = all.into_iter().enumerate().collect();
        for expected in [3, 2, 1] {
            let goes = first_to_go(&taken, now).map(|p| p.leave.clone()).unwrap();
            assert!(Arc::ptr_eq(&goes, &taken[&expected].leave), "{expected}");
            taken.remove(&expected);
        }
        assert!(first_to_go(&taken, now).is_none(), "a request is open");
    }
}
