//! Logs, spans and the W3C trace context.

use std::{fmt, sync::OnceLock, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use opentelemetry::{
    Context,
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::{TraceContextExt, TracerProvider},
};
use opentelemetry_http::{HttpClient, HttpError};
use opentelemetry_otlp::{ExporterBuildError, SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::{
    Resource,
    propagation::TraceContextPropagator,
    trace::{SdkTracer, SdkTracerProvider},
};
use span_http::{Client, collect_body, full_body};
use tokio::runtime::Handle;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::{EnvFilter, Layer, filter, layer::SubscriberExt, util::SubscriberInitExt};

use crate::settings::Trace;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const EXPORT_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_EXPORT_ANSWER_BYTES: usize = 64 * 1024;
/// Spans of requests go to the trace export only, not to the log.
const DEFAULT_LEVELS: &str = "info,rosemaryspan::request=off";
/// Target of the spans of the request path.
pub(crate) const SPAN_TARGET: &str = "rosemaryspan::request";

/// Traces cannot be exported.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The exporter cannot be built.
    #[error("the trace exporter cannot be built: {0}")]
    Exporter(#[from] ExporterBuildError),
    /// Logs were started before.
    #[error("logs were started before: {0}")]
    Init(#[from] tracing_subscriber::util::TryInitError),
}

/// Running logs and trace export; spans not yet sent are sent on drop.
#[derive(Debug)]
pub struct Telemetry {
    provider: Option<SdkTracerProvider>,
}

impl Drop for Telemetry {
    fn drop(&mut self) {
        if let Some(provider) = &self.provider {
            // A collector that cannot be reached must not hold up the exit.
            let _ = provider.shutdown_with_timeout(Duration::from_secs(1));
        }
    }
}

/// Starts logs as JSON lines on standard error, and trace export if it is set.
///
/// # Errors
///
/// Fails if the exporter cannot be built or logs were started before.
pub fn start(settings: &Trace) -> Result<Telemetry, TraceError> {
    let provider = settings.otlp_url.as_deref().map(provider).transpose()?;
    let spans = provider.as_ref().map(|provider| {
        let tracer: SdkTracer = provider.tracer("rosemaryspan-router");
        let only_requests = filter::filter_fn(|meta| meta.target() == SPAN_TARGET);
        tracing_opentelemetry::layer().with_tracer(tracer).with_filter(only_requests)
    });
    let level =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_LEVELS));
    let lines =
        tracing_subscriber::fmt::layer().json().with_writer(std::io::stderr).with_filter(level);
    tracing_subscriber::registry().with(lines).with(spans).try_init()?;
    Ok(Telemetry { provider })
}

fn provider(url: &str) -> Result<SdkTracerProvider, TraceError> {
    let client = ExportClient {
        runtime: Handle::current(),
        client: span_http::pooled_client(CONNECT_TIMEOUT),
    };
    let exporter = SpanExporter::builder()
        .with_http()
        .with_http_client(client)
        .with_endpoint(url)
        .with_timeout(EXPORT_TIMEOUT)
        .build()?;
    let resource = Resource::builder().with_service_name("rosemaryspan-router").build();
    Ok(SdkTracerProvider::builder().with_batch_exporter(exporter).with_resource(resource).build())
}

/// Sends exports on the traffic runtime: the batch exporter calls from a thread
/// of its own, where hyper has no runtime.
struct ExportClient {
    runtime: Handle,
    client: Client,
}

impl fmt::Debug for ExportClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ExportClient").finish_non_exhaustive()
    }
}

#[async_trait::async_trait]
impl HttpClient for ExportClient {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let client = self.client.clone();
        let sent = self.runtime.spawn(async move {
            tokio::time::timeout(EXPORT_TIMEOUT, async move {
                let answer = client.request(request.map(full_body)).await?;
                let (head, body) = answer.into_parts();
                let body = collect_body(body, MAX_EXPORT_ANSWER_BYTES).await?;
                Ok::<_, HttpError>(Response::from_parts(head, body))
            })
            .await
        });
        sent.await??
    }
}

struct Headers<'a>(&'a HeaderMap);

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|value| value.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct HeadersMut<'a>(&'a mut HeaderMap);

impl Injector for HeadersMut<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::from_bytes(key.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            self.0.insert(name, value);
        }
    }
}

fn propagator() -> &'static TraceContextPropagator {
    static PROPAGATOR: OnceLock<TraceContextPropagator> = OnceLock::new();
    PROPAGATOR.get_or_init(TraceContextPropagator::new)
}

/// Makes the caller's span the parent of `span`.
pub(crate) fn continue_trace(span: &Span, headers: &HeaderMap) {
    // Fails without export, where there is nothing to continue.
    let _ = span.set_parent(propagator().extract(&Headers(headers)));
}

/// Writes the context of `span` into the headers of a request; without export,
/// the caller's own context stays as it came.
pub(crate) fn inject(span: &Span, headers: &mut HeaderMap) {
    let context: Context = span.context();
    if context.span().span_context().is_valid() {
        propagator().inject_context(&context, &mut HeadersMut(headers));
    }
}
