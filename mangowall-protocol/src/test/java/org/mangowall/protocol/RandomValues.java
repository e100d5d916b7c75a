package org.mangowall.protocol;

import java.lang.reflect.Array;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** Generates random records component by component, so that new fields of messages are tested without further code. */
final class RandomValues {

    private final Random random;

    RandomValues(long seed) {
        this.random = new Random(seed);
    }

    Object next(Type type) throws ReflectiveOperationException {
        if (type instanceof ParameterizedType generic) {
            Type element = generic.getActualTypeArguments()[0];
            return generic.getRawType() == List.class ? list(element) : optional(element);
        }
        Class<?> kind = (Class<?>) type;
        if (kind.isRecord()) {
            return record(kind);
        }
        if (kind.isEnum()) {
            return Array.get(kind.getMethod("values").invoke(null), random.nextInt(constantCount(kind)));
        }
        return simple(kind);
    }

    private Object simple(Class<?> kind) {
        return switch (kind.getSimpleName()) {
            case "int" -> random.nextInt();
            case "long" -> random.nextLong();
            case "double" -> random.nextGaussian();
            case "boolean" -> random.nextBoolean();
            case "String" -> text();
            case "Duration" -> Duration.ofNanos(random.nextLong());
            case "byte[]" -> bytes();
            default -> throw new IllegalArgumentException(kind.getName());
        };
    }

    private static int constantCount(Class<?> kind) {
        return kind.getEnumConstants().length;
    }

    private String text() {
        return "n" + Integer.toString(random.nextInt(1 << 20), Character.MAX_RADIX);
    }

    private byte[] bytes() {
        byte[] bytes = new byte[random.nextInt(9000)];
        random.nextBytes(bytes);
        return bytes;
    }

    private List<Object> list(Type element) throws ReflectiveOperationException {
        List<Object> elements = new ArrayList<>();
        for (int left = random.nextInt(5); left > 0; left--) {
            elements.add(next(element));
        }
        return elements;
    }

    private Optional<Object> optional(Type element) throws ReflectiveOperationException {
        return random.nextBoolean() ? Optional.of(next(element)) : Optional.empty();
    }

    private Object record(Class<?> kind) throws ReflectiveOperationException {
        RecordComponent[] components = kind.getRecordComponents();
        Object[] values = new Object[components.length];
        for (int index = 0; index < components.length; index++) {
            values[index] = next(components[index].getGenericType());
        }
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        return kind.getDeclaredConstructor(types).newInstance(values);
    }

    static String describe(Object value) throws ReflectiveOperationException {
        if (value instanceof byte[] bytes) {
            return Arrays.toString(bytes);
        }
        if (value instanceof Optional<?> optional) {
            return optional.isEmpty() ? "none" : describe(optional.get());
        }
        StringBuilder text = new StringBuilder(value.getClass().getSimpleName());
        if (value instanceof List<?> list) {
            for (Object element : list) {
                text.append(' ').append(describe(element));
            }
            return text.toString();
        }
        if (!(value instanceof Record)) {
            return value.toString();
        }
        for (RecordComponent component : value.getClass().getRecordComponents()) {
            Object part = component.getAccessor().invoke(value);
            text.append(' ').append(component.getName()).append('=').append(describe(part));
        }
        return text.toString();
    }
}
