/**
 * The keys of a schema as rows of a table: key, type, default and meaning.
 */
import { z } from 'zod';

interface Property {
  type?: string;
  description?: string;
  default?: unknown;
  enum?: unknown[];
  anyOf?: Property[];
  oneOf?: Property[];
  items?: Property;
  properties?: Record<string, Property>;
  required?: string[];
}

/** One row for each key of `schema`, those of nested tables by dotted path. */
export function listSchemaRows(schema: z.ZodType): string[][] {
  return listRows(z.toJSONSchema(schema, { io: 'input' }) as Property, '');
}

function listRows(table: Property, prefix: string): string[][] {
  const required = new Set(table.required);
  return Object.entries(table.properties ?? {}).flatMap(([name, property]) => {
    const key = `${prefix}${name}`;
    if (property.properties !== undefined) return listRows(property, `${key}.`);
    return [describeRow(key, property, required.has(name))];
  });
}

function describeRow(key: string, property: Property, isRequired: boolean): string[] {
  const unit = key.endsWith('Ms') ? ' of milliseconds' : '';
  return [
    `\`${key}\``,
    `${describeType(property)}${unit}`,
    describeDefault(property, isRequired),
    property.description ?? '',
  ];
}

function describeDefault(property: Property, isRequired: boolean): string {
  if (isRequired) return 'required';
  return property.default === undefined ? 'none' : `\`${JSON.stringify(property.default)}\``;
}

function describeType(property: Property): string {
  if (property.enum !== undefined)
    return property.enum.map((value) => `"${String(value)}"`).join(', ');
  if (property.type === 'array') return `array of ${describeItems(property.items)}`;
  if (property.type === 'object') return 'table';
  return property.type ?? 'any';
}

function describeItems(items: Property | undefined): string {
  if (items === undefined) return 'values';
  if (items.oneOf !== undefined || items.anyOf !== undefined) return 'tables';
  return items.type === 'object' ? 'tables' : `${describeType(items)}s`;
}
