/** Renders a settings template as the pages describe: values, lists and sections. */

type Fields = Readonly<Record<string, unknown>>;

function find(path: string, fields: Fields): unknown {
  return path
    .split('.')
    .reduce<unknown>((value, name) => (value as Fields | undefined)?.[name], fields);
}

function toText(value: unknown): string {
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.map(String).join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value as string | number);
}

export function render(template: string, fields: Fields): string {
  const section = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
  let text = template;
  for (let match = section.exec(text); match; match = section.exec(text)) {
    const [whole, kind, path = '', inner = ''] = match;
    const value = find(path, fields);
    const isPresent = value !== undefined && value !== null && value !== false;
    let rendered = '';
    if (kind === '^') rendered = isPresent ? '' : inner;
    else if (Array.isArray(value))
      rendered = value
        .map((item, index) =>
          inner
            .replaceAll('{{.}}', toText(item))
            .replaceAll('{{,}}', index < value.length - 1 ? ',' : ''),
        )
        .join('');
    else if (isPresent) rendered = inner;
    text = text.replace(whole, () => rendered);
  }
  return text.replace(/\{\{([\w.]+)\}\}/g, (_, path: string) => toText(find(path, fields)));
}
