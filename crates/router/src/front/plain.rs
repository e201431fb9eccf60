//! Calls to plain services.

use std::sync::Arc;

use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use span_config::Document;
use span_http::Body;
use span_types::{Outcome, PLAIN_CALL_COST, REQUEST_ID_HEADER, RequestId, ServiceName};

use super::{Failure, Front, answer::stamp, auth::Caller, upstream};
use crate::control::{AdmitRequest, Permit};

/// Runs one call of a plain service.
pub(super) async fn call(
    front: &Arc<Front>,
    document: &Document,
    id: &RequestId,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let (service, target) = target(request.uri())?;
    if !document.services.contains_key(&service) {
        let message = format!("no service has the name {service}");
        return Err(Failure::not_run(StatusCode::NOT_FOUND, "service_not_found", message));
    }
    caller.may_reach(&service)?;
    let admit = AdmitRequest {
        workspace: caller.workspace,
        service,
        prompt_cost: PLAIN_CALL_COST,
        cost_hint: None,
        prefix: None,
        avoid: Vec::new(),
    };
    let mut permit = front.control.admit(admit).await.map_err(|rejection| {
        Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "rejected", rejection.to_string())
    })?;
    permit.add_cost(PLAIN_CALL_COST);
    let request = upstream_request(&permit, id, &target, request)?;
    let answer = upstream::send(&front.client, request).await?;
    Ok(pass_on(answer, id, permit))
}

/// Splits `/svc/<service>/<path>?<query>`.
fn target(uri: &Uri) -> Result<(ServiceName, String), Failure> {
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let rest = path.strip_prefix("/svc/").unwrap_or_default();
    let (service, target) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(Failure::not_run(StatusCode::NOT_FOUND, "no_such_path", "no service named"));
    }
    Ok((service.into(), format!("/{target}")))
}

fn upstream_request(
    permit: &Permit,
    id: &RequestId,
    target: &str,
    request: Request<Incoming>,
) -> Result<Request<Body>, Failure> {
    let (mut head, body) = request.into_parts();
    head.uri = format!("http://{}{target}", permit.address)
        .parse()
        .map_err(|_| Failure::not_run(StatusCode::BAD_REQUEST, "invalid_request", "bad path"))?;
    head.headers.remove(header::AUTHORIZATION);
    head.headers.remove(header::HOST);
    head.headers.remove(header::CONNECTION);
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        head.headers.insert(REQUEST_ID_HEADER, value);
    }
    Ok(Request::from_parts(head, body.map_err(Into::into).boxed()))
}

fn pass_on(answer: Response<Incoming>, id: &RequestId, permit: Permit) -> Response<Body> {
    let (head, body) = answer.into_parts();
    let body = body
        .map_frame(move |frame| {
            // Holds the slot until the answer has been passed on.
            let _ = &permit;
            frame
        })
        .map_err(Into::into)
        .boxed();
    let mut response = Response::from_parts(head, body);
    stamp(&mut response, id, Outcome::Completed);
    response
}
