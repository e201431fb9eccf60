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
const MAX_EXPORT_RESPONSE_BYTES: usize = 64 * 1024;
/// Spans of requests are exported as traces but not logged.
const DEFAULT_LOG_FILTER: &str = "info,rosemaryspan::request=off";
/// `tracing` target of request spans.
pub(crate) const REQUEST_SPAN_TARGET: &str = "rosemaryspan::request";

/// Logging or the trace export cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The exporter cannot be built.
    #[error("the trace exporter cannot be built: {0}")]
    Exporter(#[from] ExporterBuildError),
    /// The global logger is already set.
    #[error("logging is already initialised: {0}")]
    Init(#[from] tracing_subscriber::util::TryInitError),
}

/// Guard of the trace export; dropping it sends the remaining spans.
#[derive(Debug)]
pub struct Telemetry {
    provider: Option<SdkTracerProvider>,
}

impl Drop for Telemetry {
    fn drop(&mut self) {
        if let Some(provider) = &self.provider {
            // Limits the time for which an unreachable trace collector delays the
            // exit.
            let _ = provider.shutdown_with_timeout(Duration::from_secs(1));
        }
    }
}

/// Starts logging as JSON lines to standard error, and the trace export if it is
/// configured.
///
/// # Errors
///
/// Fails if the exporter cannot be built or logging is already initialised.
pub fn start(settings: &Trace) -> Result<Telemetry, TraceError> {
    let provider = settings.otlp_url.as_deref().map(build_provider).transpose()?;
    let spans = provider.as_ref().map(|provider| {
        let tracer: SdkTracer = provider.tracer("rosemaryspan-router");
        let only_requests = filter::filter_fn(|meta| meta.target() == REQUEST_SPAN_TARGET);
        tracing_opentelemetry::layer().with_tracer(tracer).with_filter(only_requests)
    });
    let log_filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_LOG_FILTER));
    let log_lines = tracing_subscriber::fmt::layer()
        .json()
        .with_writer(std::io::stderr)
        .with_filter(log_filter);
    tracing_subscriber::registry().with(log_lines).with(spans).try_init()?;
    Ok(Telemetry { provider })
}

fn build_provider(url: &str) -> Result<SdkTracerProvider, TraceError> {
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

/// Sends exports on the traffic runtime. The batch exporter calls it from its own
/// thread, which has no runtime for hyper.
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
                let body = collect_body(body, MAX_EXPORT_RESPONSE_BYTES).await?;
                Ok::<_, HttpError>(Response::from_parts(head, body))
            })
            .await
        });
        sent.await??
    }
}

struct HeaderExtractor<'a>(&'a HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|value| value.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct HeaderInjector<'a>(&'a mut HeaderMap);

impl Injector for HeaderInjector<'_> {
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
pub(crate) fn set_parent_from_headers(span: &Span, headers: &HeaderMap) {
    // Fails if traces are not exported; the span then needs no parent.
    let _ = span.set_parent(propagator().extract(&HeaderExtractor(headers)));
}

/// Writes the context of `span` into the headers of a request. If traces are not
/// exported, the caller's context stays unchanged.
pub(crate) fn inject_span_context(span: &Span, headers: &mut HeaderMap) {
    let context: Context = span.context();
    if context.span().span_context().is_valid() {
        propagator().inject_context(&context, &mut HeaderInjector(headers));
    }
}
