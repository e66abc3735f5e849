/**
 * Renders the settings template in the platform's template syntax: `{{a.b}}`, `{{#a}}..{{/a}}`, `{{.}}`,
 * `{{,}}`.
 */

/** Template values by name. */
export type Fields = { readonly [name: string]: unknown };

/** Renders a template. */
export function renderTemplate(template: string, fields: Fields): string {
  const sections = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
  const filled = template.replace(sections, (_whole, path: string, inner: string) => {
    const value = getField(fields, path);
    if (value === undefined || value === false) return "";
    if (!Array.isArray(value)) return renderTemplate(inner, fields);
    return value
      .map((item, i) =>
        inner.replaceAll("{{.}}", String(item)).replaceAll("{{,}}", i + 1 < value.length ? "," : ""),
      )
      .join("");
  });
  return filled.replace(/\{\{([\w.]+)\}\}/g, (_whole, path: string) => String(getField(fields, path) ?? ""));
}

function getField(fields: Fields, path: string): unknown {
  return path.split(".").reduce<unknown>((value, part) => {
    if (value === null || typeof value !== "object") return undefined;
    return (value as Fields)[part];
  }, fields);
}
