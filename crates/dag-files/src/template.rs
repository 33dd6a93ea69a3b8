//! Converts attributes of a graph file to JSON, and renders the templates in their strings.

use hcl::structure::Body;
use minijinja::{Environment, UndefinedBehavior};
use serde_json::{Map, Value};

/// Returns a copy of the value with the templates in its strings rendered.
pub(crate) fn render_value(
    environment: &Environment<'_>,
    value: &Value,
    context: &Value,
) -> Result<Value, String> {
    Ok(match value {
        Value::String(text) if text.contains("{{") || text.contains("{%") => {
            let rendered = environment.render_str(text, context);
            // minijinja adds a placeholder file name and line, which users would take for those of the graph file.
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

/// Creates an environment in which an undefined variable is an error instead of rendering as an empty string.
pub(crate) fn template_environment() -> Environment<'static> {
    let mut environment = Environment::new();
    environment.set_undefined_behavior(UndefinedBehavior::Strict);
    environment
}

/// Returns the attributes of a body as JSON. Nested blocks are an error.
pub(crate) fn read_attributes(body: &Body) -> Result<Map<String, Value>, String> {
    if let Some(block) = body.blocks().next() {
        return Err(format!(
            "unexpected block {:?}: expected only attributes (name = value)",
            block.identifier()
        ));
    }
    let value: Value = hcl::from_body(body.clone()).map_err(|error| error.to_string())?;
    value.as_object().cloned().ok_or_else(|| "expected attributes (name = value)".into())
}
