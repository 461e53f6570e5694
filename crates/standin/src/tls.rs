//! TLS in front of a stand-in, with a certificate authority of its own: valid and invalid certificates, slow handshakes, and
//! handshakes that stall after a number of bytes.

use rcgen::{CertificateParams, DnType, ExtendedKeyUsagePurpose, Issuer, KeyPair, KeyUsagePurpose};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::thread;
use std::time::Duration;
use tokio::io::{copy_bidirectional, AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::rustls::pki_types::PrivatePkcs8KeyDer;
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::{HandshakeKind, RootCertStore, ServerConfig};
use tokio_rustls::TlsAcceptor;

/// A certificate authority.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    /// Its root certificate in PEM.
    pub pem: String,
    der: rcgen::Certificate,
}

/// A certificate and its private key.
pub struct Issued {
    certificate: rcgen::Certificate,
    key: KeyPair,
}

impl Issued {
    /// The certificate in PEM.
    pub fn certificate_pem(&self) -> String {
        self.certificate.pem()
    }

    /// The private key in PEM.
    pub fn key_pem(&self) -> String {
        self.key.serialize_pem()
    }
}

impl Authority {
    /// Creates an authority with a new key.
    ///
    /// # Panics
    /// The key could not be generated.
    pub fn new(name: &str) -> Authority {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("no names");
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let der = params.self_signed(&key).expect("a certificate");
        Authority { pem: der.pem(), issuer: Issuer::new(params, key), der }
    }

    /// Issues a certificate for these names, valid from 1 January of the first year to 1 January of the second.
    ///
    /// # Panics
    /// A name is not valid in a certificate.
    pub fn issue(&self, names: &[String], (from, to): (i32, i32)) -> Issued {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(names.to_vec()).expect("names");
        params.distinguished_name.push(DnType::CommonName, names.first().map_or("", String::as_str));
        params.not_before = rcgen::date_time_ymd(from, 1, 1);
        params.not_after = rcgen::date_time_ymd(to, 1, 1);
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        Issued { certificate: params.signed_by(&key, &self.issuer).expect("a certificate"), key }
    }

    /// The same as [`Authority::server`], without session resumption.
    ///
    /// # Panics
    /// The certificate is not usable.
    pub fn server_without_tickets(issued: &Issued) -> Arc<ServerConfig> {
        let mut config = (*Authority::server(issued, None)).clone();
        config.send_tls13_tickets = 0;
        config.session_storage = Arc::new(tokio_rustls::rustls::server::NoServerSessionStorage {});
        Arc::new(config)
    }

    /// Configuration of a server with this certificate. With `clients`, it requires client certificates of that authority.
    ///
    /// # Panics
    /// The certificate is not usable.
    pub fn server(issued: &Issued, clients: Option<&Authority>) -> Arc<ServerConfig> {
        let provider = Arc::new(foldtrack_tls::provider());
        let builder = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .expect("versions");
        let builder = match clients {
            None => builder.with_no_client_auth(),
            Some(authority) => {
                let mut roots = RootCertStore::empty();
                roots.add(authority.der.der().clone()).expect("a root");
                let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
                builder.with_client_cert_verifier(verifier.build().expect("roots"))
            }
        };
        let key = PrivatePkcs8KeyDer::from(issued.key.serialize_der());
        let config = builder.with_single_cert(vec![issued.certificate.der().clone()], key.into());
        Arc::new(config.expect("a certificate and its key"))
    }
}

/// Settings of a TLS frontend.
#[derive(Clone)]
struct FrontendConfig {
    config: Arc<ServerConfig>,
    /// Number of bytes after which it sends nothing more.
    stall_after: Option<usize>,
    /// Delay before each handshake.
    delay: Duration,
}

/// Terminates TLS in front of a plain server.
pub struct TlsFrontend {
    /// Listening address.
    pub address: SocketAddr,
    settings: Mutex<FrontendConfig>,
    /// Number of full handshakes.
    pub full: AtomicUsize,
    /// Number of resumed handshakes.
    pub resumed: AtomicUsize,
    /// Number of failed handshakes.
    pub broken: AtomicUsize,
}

impl TlsFrontend {
    /// Starts a TLS frontend of the server at `to`.
    ///
    /// # Panics
    /// No port, descriptor or thread is available.
    pub fn start(to: SocketAddr, config: Arc<ServerConfig>) -> Arc<TlsFrontend> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let frontend = Arc::new(TlsFrontend {
            address: listener.local_addr().expect("the address of a bound socket"),
            settings: Mutex::new(FrontendConfig { config, stall_after: None, delay: Duration::ZERO }),
            full: AtomicUsize::new(0),
            resumed: AtomicUsize::new(0),
            broken: AtomicUsize::new(0),
        });
        let shared = frontend.clone();
        thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let listener = TcpListener::from_std(listener).expect("a listener");
                loop {
                    match listener.accept().await {
                        Ok((stream, _)) => drop(tokio::spawn(shared.clone().serve(stream, to))),
                        Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                    }
                }
            });
        });
        frontend
    }

    fn settings(&self) -> MutexGuard<'_, FrontendConfig> {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Uses another configuration from the next connection on.
    pub fn change(&self, config: Arc<ServerConfig>) {
        self.settings().config = config;
    }

    /// Stalls after sending this many bytes, from the next connection on. `None` ends this.
    pub fn stall_after(&self, bytes: Option<usize>) {
        self.settings().stall_after = bytes;
    }

    /// Sets the delay before each handshake.
    pub fn delay(&self, delay: Duration) {
        self.settings().delay = delay;
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, to: SocketAddr) {
        let FrontendConfig { config, stall_after, delay } = self.settings().clone();
        let _ = stream.set_nodelay(true);
        tokio::time::sleep(delay).await;
        let stream = StallingStream { stream, bytes_left: stall_after };
        let Ok(mut stream) = TlsAcceptor::from(config).accept(stream).await else {
            self.broken.fetch_add(1, Ordering::SeqCst);
            return;
        };
        let resumed = stream.get_ref().1.handshake_kind() == Some(HandshakeKind::Resumed);
        let count = if resumed { &self.resumed } else { &self.full };
        count.fetch_add(1, Ordering::SeqCst);
        let Ok(mut plain) = TcpStream::connect(to).await else { return };
        let _ = plain.set_nodelay(true);
        let _ = copy_bidirectional(&mut stream, &mut plain).await;
    }
}

/// A stream that accepts a number of bytes and then stalls.
struct StallingStream {
    stream: TcpStream,
    /// Bytes left until it stalls; `None` for no limit.
    bytes_left: Option<usize>,
}

impl AsyncRead for StallingStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for StallingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let max = self.bytes_left.unwrap_or(usize::MAX).min(bytes.len());
        if max == 0 && !bytes.is_empty() {
            return Poll::Pending;
        }
        let done = Pin::new(&mut self.stream).poll_write(cx, &bytes[..max]);
        if let (Poll::Ready(Ok(count)), Some(left)) = (&done, &mut self.bytes_left) {
            *left -= count;
        }
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
