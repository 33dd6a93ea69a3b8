//! Attributes of a graph file as JSON, and the templates in their strings.

use hcl::structure::Body;
use minijinja::{Environment, UndefinedBehavior};
use serde_json::{Map, Value};

/// A copy of the value with the templates in its strings filled in.
pub(crate) fn render_value(
    environment: &Environment<'_>,
    value: &Value,
    context: &Value,
) -> Result<Value, String> {
    Ok(match value {
        Value::String(text) if text.contains("{{") || text.contains("{%") => {
            let rendered = environment.render_str(text, context);
            // The library invents a name and a line for the template, which would mislead.
            Value::String(rendered.map_err(|error| error.to_string().replace(" (in <string>:1)", ""))?)
        }
        Value::Array(items) => {
            let items = items.iter().map(|item| render_value(environment, item, context));
            Value::Array(items.collect::<Result<_, _>>()?)
        }
        Value::Object(fields) => {
            let field = |(name, value): (&String, &Value)| {
                Ok((name.clone(), render_value(environment, value, context)?))
            };
            Value::Object(fields.iter().map(field).collect::<Result<_, String>>()?)
        }
        other => other.clone(),
    })
}

/// Templates with an unknown variable are an error, not an empty text.
pub(crate) fn template_environment() -> Environment<'static> {
    let mut environment = Environment::new();
    environment.set_undefined_behavior(UndefinedBehavior::Strict);
    environment
}

/// The attributes of a body as JSON. Blocks in it are an error.
pub(crate) fn read_attributes(body: &Body) -> Result<Map<String, Value>, String> {
    if let Some(block) = body.blocks().next() {
        return Err(format!("a block {:?} is not expected here", block.identifier()));
    }
    let value: Value = hcl::from_body(body.clone()).map_err(|error| error.to_string())?;
    value.as_object().cloned().ok_or_else(|| "expected name = value".into())
}
