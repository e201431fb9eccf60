//! Chat completions.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, Uri, header::CONTENT_TYPE};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use span_config::Document;
use span_http::{Body, collect, full};
use span_types::{Outcome, REQUEST_ID_HEADER, RequestId, ServiceName};

use super::{Failure, Front, answer::stamp, auth::Caller, upstream};
use crate::control::{AdmitRequest, Permit};

const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

#[derive(Deserialize)]
struct Head {
    model: String,
}

/// Runs one chat completion.
pub(super) async fn complete(
    front: &Arc<Front>,
    document: &Document,
    id: &RequestId,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let body = read(request).await?;
    let service = service(document, &body)?;
    caller.may_reach(&service)?;
    let admit = AdmitRequest {
        workspace: caller.workspace,
        service,
        prompt_cost: 0,
        cost_hint: None,
        prefix: None,
        avoid: Vec::new(),
    };
    let permit = front.control.admit(admit).await.map_err(|rejection| {
        Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "rejected", rejection.to_string())
    })?;
    let request = upstream_request(&permit, id, body)?;
    let answer = upstream::send(&front.client, request).await?;
    Ok(pass_on(answer, id, permit))
}

async fn read(request: Request<Incoming>) -> Result<Bytes, Failure> {
    let body = collect(request.into_body(), MAX_BODY_BYTES).await;
    body.map_err(|error| {
        Failure::not_run(StatusCode::BAD_REQUEST, "invalid_request", error.to_string())
    })
}

fn service(document: &Document, body: &Bytes) -> Result<ServiceName, Failure> {
    let head: Head = serde_json::from_slice(body).map_err(|error| {
        Failure::not_run(StatusCode::BAD_REQUEST, "invalid_request", error.to_string())
    })?;
    let mut services = document.services.iter();
    let found = services.find(|(_, service)| service.models.contains(head.model.as_str()));
    found.map(|(name, _)| name.clone()).ok_or_else(|| {
        let message = format!("no service has the model {:?}", head.model);
        Failure::not_run(StatusCode::NOT_FOUND, "model_not_found", message)
    })
}

fn upstream_request(
    permit: &Permit,
    id: &RequestId,
    body: Bytes,
) -> Result<Request<Body>, Failure> {
    let uri: Uri = format!("http://{}/v1/chat/completions", permit.address)
        .parse()
        .map_err(|_| Failure::not_run(StatusCode::BAD_GATEWAY, "bad_upstream", "bad address"))?;
    let mut request = Request::post(uri).body(full(body)).map_err(|error| {
        Failure::not_run(StatusCode::BAD_GATEWAY, "bad_request", error.to_string())
    })?;
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    Ok(request)
}

fn pass_on(answer: Response<Incoming>, id: &RequestId, mut permit: Permit) -> Response<Body> {
    let (head, body) = answer.into_parts();
    let body = body
        .map_frame(move |frame| {
            permit.add_cost(1);
            frame
        })
        .map_err(Into::into)
        .boxed();
    let mut response = Response::from_parts(head, body);
    stamp(&mut response, id, Outcome::Completed);
    response
}
